#include "programs/gateway/forwarder.hpp"

#include "platform/headers.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::time_point;

bool is_system_header(std::string_view name) {
    return std::any_of(platform::system_headers.begin(), platform::system_headers.end(),
                       [&](std::string_view header) { return edge::same_name(header, name); });
}

void append_field(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

connection_choice connection_for(const caller_request& request) {
    if (request.came_before)
        return connection_choice::unused;
    return request.repeatable() ? connection_choice::any : connection_choice::recent;
}

} // namespace

// ---- sending ---------------------------------------------------------------------------------------

gateway_metrics::request_kind forwarder::metric_kind(const caller_request& request) {
    return {name_of(request.route->kind), request.service};
}

std::string forwarder::request_text(const caller_request& request, const std::string& target) const {
    std::string out = request.received.method + " " + request.received.target + " HTTP/1.1\r\n";
    for (const edge::http_field& field : request.received.fields) {
        if (edge::concerns_connection(field.name) || is_system_header(field.name) ||
            edge::same_name(field.name, "content-length") || edge::same_name(field.name, "expect"))
            continue;
        if (!request.last_event.empty() && edge::same_name(field.name, platform::resume_header))
            continue;
        append_field(out, field.name, field.value);
    }
    const auto left = core::common::to_wire_ms(request.deadline - context_.loop.now());
    append_field(out, platform::deadline_header, std::to_string(std::max<std::int64_t>(1, left)));
    append_field(out, platform::instance_header, target);
    if (!request.customer.empty())
        append_field(out, platform::customer_header, request.customer);
    if (request.is_stream())
        append_field(out, platform::priority_header, std::to_string(std::clamp(request.priority, 0, 9)));
    if (!request.last_event.empty())
        append_field(out, platform::resume_header, request.last_event);
    if (request.expects_weights())
        append_field(out, platform::expected_weights_header, std::to_string(*request.begun_at->weights));
    if (!request.received.body.empty() || request.received.method == "POST" ||
        request.received.method == "PUT")
        append_field(out, "Content-Length", std::to_string(request.received.body.size()));
    out.append("\r\n").append(request.received.body);
    return out;
}

void forwarder::send(const caller_request_ptr& request, const std::string& target) {
    if (is_blocked(*request)) // since it began to wait
        return refuse(request, 503, "condemned", {});
    if (request->session->caller_has_left())
        return request->session->drop(); // abandons the request
    const auto link = dispatcher_->link(target);
    if (!link) {
        dispatcher_->submit(request);
        return;
    }
    if (!charge(request))
        return;
    if (request->send_count == 0)
        budget(request->service).count_first(context_.loop.now());
    ++request->send_count;
    request->unsettled = true;
    request->came_before = !request->sent_to.insert(target).second;
    request->body.clear();
    request->events.clear();
    note_part(*request);
    request->pace.restart();
    request->sequence.begin_answer();
    request->progress.begin_answer();
    request->held = false;
    request->ended_while_held = false;
    request->target_gone_at.reset();
    request->on_notice.reset();
    request->ended_by = "";
    request->last_target = target;
    if (const auto* known = context_.directory.find(target)) {
        request->target_start = {target, known->entry.born};
        request->target_address = known->entry.address;
        request->target_version = core::fleet::version_at(known->entry, request->model);
    }
    dispatcher_->begin_attempt(request, target);
    const auto waited = context_.loop.now() - request->arrived;
    if (request->send_count == 1)
        context_.metrics.observe_wait(metric_kind(*request), waited);
    context_.log.write(edge::events::request_sent, request->request_id,
                       {{"target", target},
                        {"software_version", request->target_version.software},
                        {"resumes", request->resumes},
                        {"after_event", request->last_event},
                        {"load", dispatcher_->load_of(target)},
                        {"send", request->send_count},
                        {"waited_ms", core::common::to_wire_ms(waited)},
                        {"left_ms", core::common::to_wire_ms(request->deadline - context_.loop.now())},
                        {"config", request->config->version}});
    exchange::events handlers;
    handlers.may_send = [this, request] { return may_send_now(request); };
    handlers.on_head = [this, request](const edge::answer_head& head) { on_head(request, head); };
    handlers.on_body = [this, request](std::string&& piece) { on_body(request, std::move(piece)); };
    handlers.on_complete = [this, request] { on_complete(request); };
    handlers.on_failed = [this, request](exchange_failure failure) { on_failed(request, failure); };
    request->target_exchange = link->send(request_text(*request, target), request->request_id,
                                          connection_for(*request), std::move(handlers));
}

/// Keeps for the log what the latest target has contributed to the stream.
void forwarder::note_part(caller_request& request) {
    if (request.sequence.answer_has_event())
        request.earlier_parts.push_back(
            {request.target_start, request.target_version, request.ended_by, request.last_event});
}

/// A target may leave, or its data centre be taken out, while a connection to it is being established.
bool forwarder::is_usable(const core::fleet::target_start& start) const {
    const auto* known = context_.directory.find(start.id);
    return known != nullptr && known->entry.born == start.born && !known->leaving() &&
           !context_.centres.out().contains(known->entry.data_centre);
}

bool forwarder::may_send_now(const caller_request_ptr& request) {
    if (!is_usable(request->target_start))
        return false;
    if (!request->session->caller_has_left())
        return true;
    request->unsettled = false;
    request->session->drop(); // abandons the request
    return false;
}

bool forwarder::charge(const caller_request_ptr& request) {
    if (request->charged || request->customer.empty())
        return true;
    const auto quota = context_.quota.take(request->customer, request->tokens, context_.loop.now());
    if (!quota.granted)
        refuse_over_rate(request, quota.retry_after);
    request->charged = quota.granted;
    return quota.granted;
}

/// Ends the exchange. Its object is destroyed later, since this may run inside one of the exchange's events.
void forwarder::close_exchange(const caller_request_ptr& request, dispatcher::attempt_outcome outcome) {
    if (request->target_exchange) {
        request->target_exchange->cancel();
        context_.loop.schedule(context_.loop.now(),
                               [ended = std::shared_ptr<exchange>(std::move(request->target_exchange))] {});
    }
    dispatcher_->end_attempt(request, outcome);
}

// ---- bounds ----------------------------------------------------------------------------------------

/// This gateway's equal share of the fleet's retry budget.
core::retries::window_limits forwarder::budget_share() const {
    auto limits = context_.settings.retries;
    limits.slack /= std::max(1, context_.gateway_count);
    return limits;
}

core::retries::window_budget& forwarder::budget(const std::string& service) {
    return budgets_.try_emplace(service, budget_share()).first->second;
}

void forwarder::update_budgets() {
    const auto limits = budget_share();
    for (auto& [service, budget] : budgets_)
        budget.change(limits);
}

bool forwarder::is_blocked(const caller_request& request) const {
    const time_point now = context_.loop.now();
    return suspect_requests_.find_blocked({&request.fingerprint, 1}, now).has_value() ||
           suspects_.find_blocked(request.shared_parts, now).has_value();
}

} // namespace waxwinglb::programs::gateway
