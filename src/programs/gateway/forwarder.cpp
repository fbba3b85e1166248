#include "programs/gateway/forwarder.hpp"

#include "platform/headers.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::milliseconds;
using core::common::time_point;

constexpr std::size_t max_unsent_bytes = 256U << 10U; // to a slow caller, before its target is held back
constexpr std::size_t max_whole_answer = 8U << 20U;   // bytes of an answer that is passed on in one piece
constexpr int breaks_that_condemn = 3;                // runs of one request that took their target along
constexpr std::size_t max_breaks_kept = 2'000;
constexpr int max_sends = 5;                  // of one request, rejections included
constexpr milliseconds rejection_pause{150};  // a model on its way is there soon, a full target has room
constexpr milliseconds least_useful_time{20}; // nothing is sent with less time left

milliseconds whole_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value);
}

bool set_by_system(std::string_view name) {
    return std::any_of(platform::system_headers.begin(), platform::system_headers.end(),
                       [&](std::string_view one) { return edge::same_name(one, name); });
}

void add_field(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

/// Fields of a target's answer that its caller gets.
std::vector<edge::http_field> passed_on(const std::vector<edge::http_field>& from) {
    std::vector<edge::http_field> out;
    for (const edge::http_field& one : from)
        if (!edge::concerns_connection(one.name) && !edge::same_name(one.name, "content-length"))
            out.push_back(one);
    return out;
}

bool says_not_run(const edge::answer_head& head) {
    return head.status == platform::wrong_target_status ||
           edge::find_field(head.fields, platform::not_run_header) != nullptr;
}

/// Id of the last event in `events`, which are complete; empty if none has one.
std::string last_event_id(std::string_view events) {
    std::size_t at = events.rfind("\nid:");
    if (at == std::string_view::npos)
        at = events.starts_with("id:") ? 0 : events.npos;
    else
        ++at;
    if (at == events.npos)
        return {};
    std::string_view value = events.substr(at + 3, events.find('\n', at) - at - 3);
    while (!value.empty() && (value.front() == ' '))
        value.remove_prefix(1);
    while (!value.empty() && (value.back() == '\r'))
        value.remove_suffix(1);
    return std::string{value};
}

gateway_metrics::request_kind metric_kind(const call& one) {
    return {name_of(one.route->kind), one.service};
}

std::string seconds_text(duration value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(value).count());
    return text.data();
}

/// How long its target has sent nothing to pass on; 0 if it waits for a target.
milliseconds silence_of(const call& one, time_point now) {
    if (one.sends == 0 || one.sent_at < one.waiting_since)
        return milliseconds{0};
    return whole_ms(now - std::max(one.sent_at, one.last_piece));
}

} // namespace

// ---- sending ---------------------------------------------------------------------------------------

std::string forwarder::request_text(const call& one, const std::string& target) const {
    std::string out = one.request.method + " " + one.request.target + " HTTP/1.1\r\n";
    for (const edge::http_field& field : one.request.fields) {
        if (edge::concerns_connection(field.name) || set_by_system(field.name) ||
            edge::same_name(field.name, "content-length") || edge::same_name(field.name, "expect"))
            continue;
        if (!one.last_event.empty() && edge::same_name(field.name, platform::resume_header))
            continue;
        add_field(out, field.name, field.value);
    }
    const auto left = whole_ms(one.deadline - context_.loop.now());
    add_field(out, platform::deadline_header, std::to_string(std::max<std::int64_t>(1, left.count())));
    add_field(out, platform::instance_header, target);
    if (!one.customer.empty())
        add_field(out, platform::customer_header, one.customer);
    if (one.is_stream())
        add_field(out, platform::priority_header, std::to_string(std::clamp(one.priority, 0, 9)));
    if (!one.last_event.empty())
        add_field(out, platform::resume_header, one.last_event);
    if (!one.request.body.empty() || one.request.method == "POST" || one.request.method == "PUT")
        add_field(out, "Content-Length", std::to_string(one.request.body.size()));
    out.append("\r\n").append(one.request.body);
    return out;
}

void forwarder::send(const call_ptr& one, const std::string& target) {
    const auto link = dispatcher_->link(target);
    if (!link) {
        dispatcher_->submit(one);
        return;
    }
    if (one->sends == 0)
        budget(one->service).count_first(context_.loop.now());
    ++one->sends;
    one->sent_to.insert(target);
    one->body.clear();
    one->answered_by = target;
    dispatcher_->begin(one, target);
    const auto waited = context_.loop.now() - one->arrived;
    if (one->sends == 1)
        context_.numbers.observe_wait(metric_kind(*one), waited);
    context_.log.write(edge::events::request_sent, one->request_id,
                       {{"target", target},
                        {"load", dispatcher_->load_of(target)},
                        {"send", one->sends},
                        {"waited_ms", whole_ms(waited).count()},
                        {"left_ms", whole_ms(one->deadline - context_.loop.now()).count()},
                        {"config", one->config->version}});
    exchange::events handlers;
    handlers.on_head = [this, one](const edge::answer_head& head) { on_head(one, head); };
    handlers.on_body = [this, one](std::string&& piece) { on_body(one, std::move(piece)); };
    handlers.on_complete = [this, one] { on_complete(one); };
    handlers.on_failed = [this, one](exchange_failure how) { on_failed(one, how); };
    one->at_target =
        link->send(request_text(*one, target), one->request_id, !one->repeatable(), std::move(handlers));
}

/// Ends the exchange; its object outlives the event that it may be in.
void forwarder::give_up_at_target(const call_ptr& one, dispatcher::verdict how) {
    if (one->at_target) {
        one->at_target->cancel();
        context_.loop.schedule(context_.loop.now(),
                               [ended = std::shared_ptr<exchange>(std::move(one->at_target))] {});
    }
    dispatcher_->end(one, how);
}

// ---- answers ---------------------------------------------------------------------------------------

void forwarder::on_head(const call_ptr& one, const edge::answer_head& head) {
    if (says_not_run(head))
        return rejected(one, head.status == platform::wrong_target_status ? dispatcher::verdict::lacks_model
                                                                          : dispatcher::verdict::not_run);
    one->may_have_run = true;
    const bool success = head.status >= 200 && head.status < 300;
    const bool genuine = edge::find_field(head.fields, platform::signature_header) != nullptr &&
                         edge::find_field(head.fields, "Content-Encoding") == nullptr;
    if (success && !genuine)
        return lost(one, "answer_without_signature");
    if (one->streaming) { // goes on after a break: the caller has the first target's head
        if (!success)
            return lost(one, "resumption_failed");
        return;
    }
    if (head.status >= 500 && one->repeatable() && one->attempts_left()) {
        const std::string at = one->target;
        one->failed_at.insert(at);
        if (try_again(one, "target_error", true))
            return;
        one->failed_at.erase(at);
    }
    one->head = head;
    if (!success || !one->is_stream())
        return;
    one->streaming = true;
}

void forwarder::on_body(const call_ptr& one, std::string&& piece) {
    one->body.append(piece);
    if (one->streaming)
        return relay_events(one, false);
    if (one->body.size() > max_whole_answer)
        lost(one, "answer_too_large");
}

/// Passes on what forms whole events: a stream that goes on at another target must not repeat half of one.
void forwarder::relay_events(const call_ptr& one, bool last) {
    std::size_t whole = one->body.size();
    if (!last) {
        const auto end = one->body.rfind("\n\n");
        whole = end == std::string::npos ? 0 : end + 2;
    }
    if (whole == 0)
        return;
    const std::string_view events{one->body.data(), whole};
    if (!one->session->answer_begun()) {
        const auto waited = context_.loop.now() - one->arrived;
        context_.numbers.observe_first_byte(metric_kind(*one), waited);
        one->session->begin_answer(one->head.status, passed_on(one->head.fields));
    }
    const time_point now = context_.loop.now();
    if (one->first_piece == time_point{})
        one->first_piece = now;
    else
        one->longest_pause = std::max(one->longest_pause, now - one->last_piece);
    one->last_piece = now;
    dispatcher_->began_to_answer(one);
    one->session->write(events);
    if (std::string id = last_event_id(events); !id.empty())
        one->last_event = std::move(id);
    one->body.erase(0, whole);
    if (!last && one->session->unsent() > max_unsent_bytes)
        one->at_target->pause();
}

void forwarder::caller_drained(const call_ptr& one) {
    if (one->at_target)
        one->at_target->resume();
}

void forwarder::on_complete(const call_ptr& one) {
    if (one->complete || !one->at_target)
        return;
    if (one->streaming) {
        relay_events(one, true);
        if (!one->session->answer_begun())
            one->session->begin_answer(one->head.status, passed_on(one->head.fields));
        one->session->end_answer();
        give_up_at_target(one, dispatcher::verdict::good);
        return done(one, edge::events::request_answered, "answered", "whole");
    }
    answer_whole(one);
}

void forwarder::answer_whole(const call_ptr& one) {
    const bool failed = one->head.status >= 500;
    context_.numbers.observe_first_byte(metric_kind(*one), context_.loop.now() - one->arrived);
    one->session->answer(one->head.status, passed_on(one->head.fields), one->body);
    give_up_at_target(one, failed ? dispatcher::verdict::failed : dispatcher::verdict::good);
    done(one, edge::events::request_answered, failed ? "failed" : "answered",
         failed ? "target_error" : "whole");
}

// ---- failures --------------------------------------------------------------------------------------

void forwarder::on_failed(const call_ptr& one, exchange_failure how) {
    if (one->complete)
        return;
    if (how == exchange_failure::not_sent) {
        const std::string unreached = one->target;
        one->not_before = {};
        give_up_at_target(one, dispatcher::verdict::unreachable);
        one->sent_to.erase(one->sent_to.find(unreached));
        if (!try_again(one, "target_unreachable", false))
            refuse(one, 503, "target_unreachable", milliseconds{500});
        return;
    }
    one->may_have_run = true;
    if (how == exchange_failure::broken)
        ++breaks_of(one->fingerprint);
    lost(one, how == exchange_failure::broken ? "connection_broken" : "answer_malformed");
}

void forwarder::rejected(const call_ptr& one, dispatcher::verdict how) {
    const char* reason = how == dispatcher::verdict::lacks_model ? "wrong_target" : "target_full";
    give_up_at_target(one, how);
    one->not_before = context_.loop.now() + rejection_pause;
    if (try_again(one, reason, true))
        return;
    if (one->streaming)
        return fail(one, 502, reason); // already begun: it can only be cut
    refuse(one, 503, reason, milliseconds{500});
}

void forwarder::lost(const call_ptr& one, const char* reason) {
    one->failed_at.insert(one->target);
    give_up_at_target(one, dispatcher::verdict::failed);
    if (one->repeatable() && one->attempts_left() && try_again(one, reason, true))
        return;
    fail(one, 502, reason);
}

/// True if the request waits for another target now.
bool forwarder::try_again(const call_ptr& one, const char* reason, bool spend_budget) {
    const time_point now = context_.loop.now();
    if (one->sends >= max_sends || condemned(one->fingerprint) || one->deadline - now < least_useful_time)
        return false;
    if (one->streaming && one->last_event.empty() && one->session->answer_begun())
        return false;
    if (spend_budget && !budget(one->service).take(now))
        return false;
    give_up_at_target(one, dispatcher::verdict::failed);
    one->body.clear();
    context_.log.write(edge::events::request_retried, one->request_id,
                       {{"reason", reason}, {"sends", one->sends}, {"after_event", one->last_event}});
    dispatcher_->submit(one);
    return true;
}

/// The final answer to a request that may have run: no promise is made.
void forwarder::fail(const call_ptr& one, int status, const std::string& reason) {
    if (one->session->answer_begun())
        one->session->abort();
    else
        one->session->answer(status, {{std::string{platform::request_id_header}, one->request_id}}, "");
    done(one, edge::events::request_cut, "cut", reason);
}

void forwarder::refuse(const call_ptr& one, int status, const std::string& reason, duration retry_after) {
    if (one->may_have_run || one->session->answer_begun())
        return fail(one, 502, reason);
    std::vector<edge::http_field> fields{{std::string{platform::request_id_header}, one->request_id}};
    if (retry_after > duration::zero())
        fields.push_back({"Retry-After", seconds_text(retry_after)});
    one->session->answer(status, fields, "");
    done(one, edge::events::request_refused, "refused", reason);
}

void forwarder::abandon(const call_ptr& one) {
    if (one->target.empty())
        dispatcher_->withdraw(one);
    else
        give_up_at_target(one, dispatcher::verdict::abandoned);
    done(one, edge::events::request_abandoned, "abandoned", "caller_left");
}

void forwarder::deadline_passed(const call_ptr& one) {
    if (one->target.empty()) {
        dispatcher_->withdraw(one);
        return refuse(one, 503, "deadline_passed_waiting", {}); // 502 if it may have run
    }
    one->may_have_run = true;
    give_up_at_target(one, dispatcher::verdict::abandoned);
    fail(one, 504, "deadline_passed_running");
}

void forwarder::done(const call_ptr& one, std::string_view event, const std::string& outcome,
                     const std::string& reason) {
    if (one->complete)
        return;
    one->complete = true;
    context_.loop.cancel(one->timer);
    const bool begun = one->first_piece != time_point{};
    const std::int64_t first_ms = begun ? whole_ms(one->first_piece - one->arrived).count() : -1;
    const std::string kind = name_of(one->route->kind);
    context_.numbers.count_request(metric_kind(*one), outcome, reason);
    context_.log.write(event, one->request_id,
                       {{"reason", reason},
                        {"route", one->route->name},
                        {"kind", kind},
                        {"customer", one->customer},
                        {"model", one->model.model},
                        {"adapter", one->model.adapter},
                        {"status", one->head.status},
                        {"sends", one->sends},
                        {"target", one->answered_by},
                        {"first_ms", first_ms},
                        {"pause_ms", whole_ms(one->longest_pause).count()},
                        {"silent_ms", silence_of(*one, context_.loop.now()).count()},
                        {"ms", whole_ms(context_.loop.now() - one->arrived).count()},
                        {"config", one->config->version}});
    on_done_(one);
}

// ---- bounds ----------------------------------------------------------------------------------------

/// An equal part of what all gateways together may repeat.
core::retries::window_limits forwarder::own_part() const {
    auto limits = context_.settings.retries;
    limits.slack /= std::max(1, context_.members);
    return limits;
}

core::retries::window_budget& forwarder::budget(const std::string& service) {
    return budgets_.try_emplace(service, own_part()).first->second;
}

void forwarder::change_members() {
    const auto limits = own_part();
    for (auto& [service, one] : budgets_)
        one.change(limits);
}

/// Counted breaks of a request's runs; all are forgotten once too many requests are known.
int& forwarder::breaks_of(std::uint64_t fingerprint) {
    if (breaks_.size() > max_breaks_kept)
        breaks_.clear();
    return breaks_[fingerprint];
}

bool forwarder::condemned(std::uint64_t fingerprint) const {
    const auto found = breaks_.find(fingerprint);
    return found != breaks_.end() && found->second >= breaks_that_condemn;
}

void forwarder::heard_breaks(std::uint64_t fingerprint, int count) {
    int& known = breaks_of(fingerprint);
    known = std::max(known, count);
}

} // namespace waxwinglb::programs::gateway
