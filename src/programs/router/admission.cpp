// Admission of arrivals: key, route, model, deadline and rate.
#include "core/keys/access.hpp"
#include "core/membership/shard.hpp"
#include "programs/router/calls.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;
using core::routing::end_reason;

constexpr milliseconds short_retry{1'000}; // told where the router can't know more

problem refuse(int status, const char* code, std::string title, milliseconds retry_after = {}) {
    problem out;
    out.code = code;
    out.status = status;
    out.title = std::move(title);
    out.retry_after = retry_after;
    return out;
}

/// The rule with the longest matching prefix; the method must match too.
const core::config::route_rule* find_rule(const core::config::service& service, std::string_view method,
                                          std::string_view path) {
    const core::config::route_rule* best = nullptr;
    for (const core::config::route_rule& rule : service.routes) {
        if (rule.method != "*" && rule.method != method)
            continue;
        if (path.starts_with(rule.path_prefix) &&
            (best == nullptr || rule.path_prefix.size() > best->path_prefix.size()))
            best = &rule;
    }
    return best;
}

/// "SERVICE/NAME", or a NAME that only one service has.
const core::config::model* find_model(const core::config::snapshot& state, const std::string& name) {
    const auto exact = state.models.find(name);
    if (exact != state.models.end())
        return &exact->second;
    const core::config::model* found = nullptr;
    for (const auto& [key, one] : state.models) {
        if (one.name != name)
            continue;
        if (found != nullptr)
            return nullptr;
        found = &one;
    }
    return found;
}

bool has_adapter(const core::config::model& model, const std::string& name) {
    return std::any_of(model.adapters.begin(), model.adapters.end(),
                       [&](const core::config::adapter& one) { return one.name == name; });
}

} // namespace

/// What admission finds out on the way to a live call.
struct call_table::admission {
    arrival request;
    const core::config::service* service = nullptr;
    const core::config::model* model = nullptr;
    const core::config::route_rule* rule = nullptr;
    const core::config::customer* customer = nullptr;
};

void call_table::admit(arrival&& request, time_point now) {
    admission one;
    one.request = std::move(request);
    const edge::exchange_ptr exchange = one.request.exchange;
    if (parts_.context.stopping) {
        parts_.metrics.count_refusal("draining", true);
        return exchange->respond(
            to_response(refuse(503, "draining", "This router is leaving.", short_retry)));
    }
    if (one.request.kind == arrival_kind::models)
        return list_models(one.request, now);
    std::optional<problem> fault;
    if (one.request.kind == arrival_kind::plain) {
        fault = resolve_plain(one);
        const bool open = !fault && one.rule->open;
        // Whoever has no key learns nothing of what exists.
        if (!open)
            if (auto bad_key = check_key(one, now))
                fault = bad_key;
    } else {
        fault = check_key(one, now);
        if (!fault)
            fault = resolve_chat(one);
    }
    if (!fault)
        return begin(one, now);
    parts_.metrics.count_refusal(fault->code, true);
    exchange->respond(to_response(*fault));
}

std::optional<problem> call_table::check_key(admission& one, time_point now) const {
    if (!parts_.config.fresh(now))
        return refuse(503, "not_fresh", "This router's configuration is out of date.", short_retry);
    if (one.request.key.empty())
        return refuse(401, "no_key", "Expected Authorization: Bearer and a key.");
    one.customer = core::keys::find_customer(parts_.config.state(), one.request.key);
    if (one.customer == nullptr)
        return refuse(401, "bad_key", "The key is unknown or withdrawn.");
    return std::nullopt;
}

std::optional<problem> call_table::resolve_chat(admission& one) const {
    const auto& state = parts_.config.state();
    one.model = find_model(state, one.request.chat.model);
    if (one.model == nullptr)
        return refuse(404, "unknown_model", "No such model, or several services have it.");
    const auto service = state.services.find(one.model->service);
    if (service == state.services.end())
        return refuse(404, "unknown_model", "The model's service does not exist.");
    one.service = &service->second;
    const std::string& adapter = one.request.chat.adapter;
    if (!adapter.empty() && !has_adapter(*one.model, adapter))
        return refuse(404, "unknown_model", "The model has no such adapter.");
    return std::nullopt;
}

std::optional<problem> call_table::resolve_plain(admission& one) const {
    const auto& state = parts_.config.state();
    const auto service = state.services.find(one.request.service);
    if (service == state.services.end() || service->second.kind != core::config::service_kind::plain)
        return refuse(404, "unknown_service", "No such service.");
    one.service = &service->second;
    const std::string path = one.request.path.substr(0, one.request.path.find('?'));
    one.rule = find_rule(*one.service, one.request.exchange->request().method, path);
    if (one.rule == nullptr)
        return refuse(404, "unknown_route", "The service has no such route.");
    return std::nullopt;
}

void call_table::list_models(const arrival& request, time_point now) const {
    admission one;
    one.request = request;
    if (auto fault = check_key(one, now))
        return request.exchange->respond(to_response(*fault));
    nlohmann::json data = nlohmann::json::array();
    const auto add = [&](const std::string& id, const std::string& owner) {
        data.push_back({{"id", id}, {"object", "model"}, {"created", 0}, {"owned_by", owner}});
    };
    for (const auto& [key, model] : parts_.config.state().models) {
        add(key, model.service);
        for (const core::config::adapter& adapter : model.adapters)
            add(key + ":" + adapter.name, model.service);
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(data)}};
    request.exchange->respond({200, {{"Content-Type", "application/json"}}, body.dump()});
}

void call_table::begin(admission& one, time_point now) {
    const bool chat = one.request.kind == arrival_kind::chat;
    const call_id id = ++last_id_;
    const std::string customer = one.customer != nullptr ? one.customer->name : "";
    const milliseconds wanted =
        one.request.timeout.count() > 0 ? one.request.timeout : one.service->default_deadline;
    core::routing::call_options options;
    options.request_id = id_prefix_ + std::to_string(id);
    options.repeatable = chat || one.rule->repeatable;
    options.claimed = !options.repeatable && !one.request.idempotency_key.empty() && one.customer != nullptr;
    options.streamed = chat && one.request.chat.stream;
    options.deadline = one.request.at + std::min(wanted, one.service->max_deadline);
    options.retry_budget = &retry_budget(customer, one.service->name);
    options.retry_budget->count_first_attempt(now);

    auto made = std::make_unique<live_call>(id, options, std::move(one.request));
    live_call& call = *made;
    call.service = one.service->name;
    call.customer = customer;
    call.cost = chat ? call.from.chat.prompt_tokens + call.from.chat.max_tokens : one.rule->cost_tokens;
    if (one.customer != nullptr) {
        call.weight = one.customer->weight;
        call.key_id = core::keys::id_of(call.from.key).value_or("");
        call.key_digest = core::keys::digest_of(call.from.key);
    }
    call.from.key.clear();
    if (chat) {
        call.model = one.model->name;
        call.about = {options.request_id, call.from.chat.model, 0, call.from.chat.prompt_tokens, 0, "stop"};
        call.about.created = std::chrono::duration_cast<std::chrono::seconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    }
    const edge::http_request& http = call.from.exchange->request();
    call.fingerprint = core::keys::digest_of(call.service + "/" + call.model + "\n" + http.method + " " +
                                             call.from.path + "\n" + http.body);
    if (options.claimed) {
        call.claim.__set_key(core::membership::claim_name(call.service, customer, call.from.idempotency_key));
        call.claim.__set_fingerprint(call.fingerprint);
        call.claim.__set_request_id(options.request_id);
    }
    calls_[id] = std::move(made);
    by_request_.emplace(options.request_id, id);
    parts_.context.timeline.add(edge::event_kind::request, options.request_id,
                                "arrived for " + call.service + "/" + call.model + " from " + customer);
    reserve(call, now);
}

/// Reserves the request's tokens, or waits for the draw that is on its way.
void call_table::reserve(live_call& call, time_point now) {
    if (!call.machine.waits_for_grant())
        return;
    if (call.customer.empty() || call.cost == 0)
        return run(call, call.machine.granted(now), now);
    const auto result = parts_.rates.reserve(call.customer, call.cost, now);
    if (result.outcome == core::limits::reserve_outcome::wait) {
        parts_.rates.wait(call.customer, call.id);
        return reschedule(call);
    }
    parts_.rates.stop_waiting(call.customer, call.id);
    if (result.outcome == core::limits::reserve_outcome::refused) {
        const bool never = result.retry_after == core::limits::never;
        const auto wait = never ? milliseconds{0} : std::chrono::ceil<milliseconds>(result.retry_after);
        return end(call, end_reason::rate_limited, wait, now);
    }
    call.reservation = result.reservation;
    call.reserved = true;
    run(call, call.machine.granted(now), now);
}

} // namespace waxwinglb::programs::router
