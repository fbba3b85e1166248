// Admission of requests: checks key, route, model and deadline, and reserves tokens of the rate.
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

constexpr milliseconds short_retry{1'000}; // Retry-After where no better estimate is known

problem make_problem(int status, const char* code, std::string title, milliseconds retry_after = {}) {
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

/// Finds a model by "SERVICE/NAME", or by a NAME that only one service has.
const core::config::model* find_model(const core::config::snapshot& state, const std::string& name) {
    const auto exact = state.models.find(name);
    if (exact != state.models.end())
        return &exact->second;
    const core::config::model* found = nullptr;
    for (const auto& [key, model] : state.models) {
        if (model.name != name)
            continue;
        if (found != nullptr)
            return nullptr;
        found = &model;
    }
    return found;
}

bool has_adapter(const core::config::model& model, const std::string& name) {
    return std::any_of(model.adapters.begin(), model.adapters.end(),
                       [&](const core::config::adapter& adapter) { return adapter.name == name; });
}

} // namespace

/// A request under admission, with the configuration entries found for it.
struct call_table::admission {
    arrival request;
    const core::config::service* service = nullptr;
    const core::config::model* model = nullptr;
    const core::config::route_rule* rule = nullptr;
    const core::config::customer* customer = nullptr;
};

void call_table::admit(arrival&& request, time_point now) {
    admission candidate;
    candidate.request = std::move(request);
    const edge::exchange_ptr exchange = candidate.request.exchange;
    if (parts_.context.stopping) {
        parts_.metrics.count_refusal("draining", true);
        return exchange->respond(
            to_response(make_problem(503, "draining", "This router is leaving.", short_retry)));
    }
    if (candidate.request.kind == arrival_kind::models)
        return list_models(candidate.request, now);
    std::optional<problem> fault;
    if (candidate.request.kind == arrival_kind::plain) {
        fault = resolve_plain(candidate);
        const bool open = !fault && candidate.rule->open;
        // A caller without a valid key gets the key's problem, so it can't probe which services and routes
        // exist.
        if (!open)
            if (auto bad_key = check_key(candidate, now))
                fault = bad_key;
    } else {
        fault = check_key(candidate, now);
        if (!fault)
            fault = resolve_chat(candidate);
    }
    if (!fault)
        return begin(candidate, now);
    parts_.metrics.count_refusal(fault->code, true);
    exchange->respond(to_response(*fault));
}

std::optional<problem> call_table::check_key(admission& candidate, time_point now) const {
    if (!parts_.config.fresh(now))
        return make_problem(503, "not_fresh", "This router's configuration is out of date.", short_retry);
    if (candidate.request.key.empty())
        return make_problem(401, "no_key", "Expected Authorization: Bearer and a key.");
    candidate.customer = core::keys::find_customer(parts_.config.state(), candidate.request.key);
    if (candidate.customer == nullptr)
        return make_problem(401, "bad_key", "The key is unknown or withdrawn.");
    return std::nullopt;
}

std::optional<problem> call_table::resolve_chat(admission& candidate) const {
    const auto& state = parts_.config.state();
    candidate.model = find_model(state, candidate.request.chat.model);
    if (candidate.model == nullptr)
        return make_problem(404, "unknown_model", "No such model, or several services have it.");
    const auto service = state.services.find(candidate.model->service);
    if (service == state.services.end())
        return make_problem(404, "unknown_model", "The model's service does not exist.");
    candidate.service = &service->second;
    const std::string& adapter = candidate.request.chat.adapter;
    if (!adapter.empty() && !has_adapter(*candidate.model, adapter))
        return make_problem(404, "unknown_model", "The model has no such adapter.");
    return std::nullopt;
}

std::optional<problem> call_table::resolve_plain(admission& candidate) const {
    const auto& state = parts_.config.state();
    const auto service = state.services.find(candidate.request.service);
    if (service == state.services.end() || service->second.kind != core::config::service_kind::plain)
        return make_problem(404, "unknown_service", "No such service.");
    candidate.service = &service->second;
    const std::string path = candidate.request.path.substr(0, candidate.request.path.find('?'));
    candidate.rule = find_rule(*candidate.service, candidate.request.exchange->request().method, path);
    if (candidate.rule == nullptr)
        return make_problem(404, "unknown_route", "The service has no such route.");
    return std::nullopt;
}

void call_table::list_models(const arrival& request, time_point now) const {
    admission candidate;
    candidate.request = request;
    if (auto fault = check_key(candidate, now))
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

void call_table::begin(admission& candidate, time_point now) {
    const bool chat = candidate.request.kind == arrival_kind::chat;
    const call_id id = ++last_id_;
    const std::string customer = candidate.customer != nullptr ? candidate.customer->name : "";
    const milliseconds timeout = candidate.request.timeout.count() > 0 ? candidate.request.timeout
                                                                       : candidate.service->default_deadline;
    core::routing::call_options options;
    options.request_id = id_prefix_ + std::to_string(id);
    options.repeatable = chat || candidate.rule->repeatable;
    options.claimed =
        !options.repeatable && !candidate.request.idempotency_key.empty() && candidate.customer != nullptr;
    options.streamed = chat && candidate.request.chat.stream;
    options.deadline = candidate.request.at + std::min(timeout, candidate.service->max_deadline);
    options.retry_budget = &retry_budget(customer, candidate.service->name);
    options.retry_budget->count_first_attempt(now);

    auto new_call = std::make_unique<live_call>(id, options, std::move(candidate.request));
    live_call& call = *new_call;
    call.service = candidate.service->name;
    call.customer = customer;
    call.cost =
        chat ? call.request.chat.prompt_tokens + call.request.chat.max_tokens : candidate.rule->cost_tokens;
    if (candidate.customer != nullptr) {
        call.weight = candidate.customer->weight;
        call.key_id = core::keys::id_of(call.request.key).value_or("");
        call.key_digest = core::keys::digest_of(call.request.key);
    }
    call.request.key.clear();
    if (chat) {
        call.model = candidate.model->name;
        call.completion_info = {
            options.request_id, call.request.chat.model, 0, call.request.chat.prompt_tokens, 0, "stop"};
        call.completion_info.created = std::chrono::duration_cast<std::chrono::seconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count();
    }
    const edge::http_request& http = call.request.exchange->request();
    call.fingerprint = core::keys::digest_of(call.service + "/" + call.model + "\n" + http.method + " " +
                                             call.request.path + "\n" + http.body);
    if (options.claimed) {
        call.claim.__set_key(
            core::membership::claim_name(call.service, customer, call.request.idempotency_key));
        call.claim.__set_fingerprint(call.fingerprint);
        call.claim.__set_request_id(options.request_id);
    }
    calls_[id] = std::move(new_call);
    calls_by_request_id_.emplace(options.request_id, id);
    parts_.context.timeline.add(edge::event_kind::request, options.request_id,
                                "arrived for " + call.service + "/" + call.model + " from " + customer);
    reserve(call, now);
}

/// Reserves the request's tokens, or waits for the result of the draw in flight.
void call_table::reserve(live_call& call, time_point now) {
    if (!call.state_machine.waits_for_grant())
        return;
    if (call.customer.empty() || call.cost == 0)
        return execute_actions(call, call.state_machine.granted(now), now);
    const auto result = parts_.rates.reserve(call.customer, call.cost, now);
    if (result.outcome == core::limits::reserve_outcome::wait) {
        parts_.rates.wait(call.customer, call.id);
        return reschedule(call);
    }
    parts_.rates.stop_waiting(call.customer, call.id);
    if (result.outcome == core::limits::reserve_outcome::refused) {
        const bool never = result.retry_after == core::limits::never;
        const auto wait = never ? milliseconds{0} : std::chrono::ceil<milliseconds>(result.retry_after);
        return end_call(call, end_reason::rate_limited, wait, now);
    }
    call.reservation = result.reservation;
    call.reserved = true;
    execute_actions(call, call.state_machine.granted(now), now);
}

} // namespace waxwinglb::programs::router
