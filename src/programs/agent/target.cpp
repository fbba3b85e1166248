#include "programs/agent/target.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwinglb::programs::agent {
namespace {

using core::common::milliseconds;
using core::memory::order_outcome;
using nlohmann::json;

constexpr milliseconds probe_timeout{500};
constexpr milliseconds unload_timeout{5'000};
constexpr milliseconds min_load_timeout{1'000};
constexpr milliseconds probe_interval{500};
constexpr milliseconds unsettled_probe_interval{50}; // while the engine's memory use is not fully known
constexpr std::int64_t orders_per_boot_ms = 1'000;   // fencing numbers per millisecond of the boot number

std::string url(const agent_state& state, const std::string& path) {
    return "http://" + state.settings.engine + path;
}

edge::client_request post(const agent_state& state, const std::string& path, const json& body) {
    edge::client_request call;
    call.method = "POST";
    call.url = url(state, path);
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    call.send_once = true;
    return call;
}

/// Excludes headers that concern one connection only or could carry a caller's key.
bool may_forward(const wire::header_field& field) {
    static const std::set<std::string> excluded{
        "host", "connection", "content-length", "transfer-encoding", "authorization", "proxy-authorization",
        "te",   "cookie",     "keep-alive",     "upgrade",           "x-api-key",     "expect"};
    std::string name = field.name;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return !excluded.contains(name) && field.value.find("wxk_") == std::string::npos;
}

void send_request(agent_state& state, active_request& request, edge::client_request call) {
    request.target_call = ++state.last_target_call;
    auto& ring = state.ring;
    const auto id = request.id;
    const auto number = request.target_call;
    request.http = state.http.send(
        std::move(call),
        [&ring, id, number](edge::client_result&& result) {
            ring.push(call_ended{id, number, std::move(result)});
        },
        [&ring, id, number](int status, std::string_view data) {
            ring.push(call_data{id, number, status, std::string{data}});
        });
}

/// Slightly longer than the deadline, which expire_requests() enforces.
milliseconds call_timeout(const active_request& request, time_point now) {
    constexpr milliseconds margin{1'000};
    return std::chrono::ceil<milliseconds>(std::max(request.deadline, now) - now) + margin;
}

edge::client_request make_plain_call(const agent_state& state, const active_request& request) {
    edge::client_request call;
    call.method = request.message.method;
    call.url = url(state, request.message.path);
    for (const wire::header_field& field : request.message.headers)
        if (may_forward(field))
            call.headers.push_back({field.name, field.value});
    call.headers.push_back({"X-Request-Id", request.key.request_id});
    call.body = request.message.body;
    call.send_once = !request.message.repeatable;
    return call;
}

edge::client_request make_generate_call(const agent_state& state, const active_request& request) {
    json body{{"request", request.key.request_id},
              {"attempt", request.key.attempt},
              {"model", request.message.model},
              {"adapter", request.message.adapter},
              {"prompt", prompt_of(request.message.body).value_or("")},
              {"priority", request.message.priority}};
    if (request.message.max_tokens > 0)
        body["max_tokens"] = request.message.max_tokens;
    auto call = post(state, "/generate", body);
    call.stall_timeout = state.settings.stall_timeout;
    return call;
}

std::int64_t next_fencing(agent_state& state) {
    state.last_fencing = std::max(state.last_fencing + 1, state.boot * orders_per_boot_ms);
    return state.last_fencing;
}

/// Outcome of an order according to its response. An uncertain one counts as lost: the next probe reads the
/// engine's state.
order_outcome outcome_of(order_kind kind, const edge::client_result& result) {
    if (result.outcome == edge::client_outcome::not_sent)
        return order_outcome::not_sent;
    if (result.outcome != edge::client_outcome::answered)
        return order_outcome::lost;
    if (result.status == 200)
        return order_outcome::done;
    const bool conflict_has_no_effect = kind != order_kind::load;
    const bool refused = result.status == 507 || result.status == 404 || result.status == 400 ||
                         (result.status == 409 && conflict_has_no_effect);
    return refused ? order_outcome::refused : order_outcome::lost;
}

void send_order(agent_state& state, order_kind kind, const core::memory::adapter_key& key,
                edge::client_request call) {
    auto& ring = state.ring;
    state.http.send(std::move(call), [&ring, kind, key](edge::client_result&& result) {
        ring.push(order_response{kind, key, outcome_of(kind, result), result.status});
    });
}

/// Parses a response of /state; nullopt if it is malformed.
std::optional<probe_result> read_state(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        probe_result probe;
        probe.outcome = probe_outcome::up;
        probe.view.boot = parsed.at("boot_id").get<std::int64_t>();
        probe.view.memory_bytes = parsed.value("memory_bytes", std::int64_t{0});
        probe.view.used_bytes = parsed.value("used_bytes", std::int64_t{0});
        probe.cold = parsed.value("cold", false);
        for (const json& model : parsed.at("models"))
            probe.view.models.push_back(
                {model.at("model").get<std::string>(), model.value("version", std::string{}),
                 model.value("bytes", std::int64_t{0}), model.value("adapters", std::vector<std::string>{})});
        return probe;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::optional<std::string> prompt_of(const std::string& chat_body) {
    const json body = json::parse(chat_body, nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array())
        return std::nullopt;
    std::string prompt;
    for (const json& message : body["messages"]) {
        if (!message.is_object() || !message.contains("content"))
            return std::nullopt;
        const json& content = message["content"];
        if (!content.is_string() && !content.is_array())
            return std::nullopt;
        if (!prompt.empty())
            prompt += "\n";
        if (content.is_string()) {
            prompt += content.get<std::string>();
            continue;
        }
        for (const json& part : content)
            if (part.is_object() && part.contains("text") && part["text"].is_string())
                prompt += part["text"].get<std::string>();
    }
    return prompt;
}

void start_call(agent_state& state, active_request& request, time_point now) {
    request.started = now;
    auto call = state.settings.kind == target_kind::plain ? make_plain_call(state, request)
                                                          : make_generate_call(state, request);
    call.timeout = call_timeout(request, now);
    send_request(state, request, std::move(call));
}

void resume_call(agent_state& state, active_request& request, time_point now) {
    ++request.resumes;
    request.awaiting_probe = false;
    request.partial_line.clear();
    state.metrics.resumes.Increment();
    auto call =
        post(state, "/resume", json{{"request", request.key.request_id}, {"from", request.next_index}});
    call.stall_timeout = state.settings.stall_timeout;
    call.timeout = call_timeout(request, now);
    send_request(state, request, std::move(call));
}

void cancel_call(agent_state& state, active_request& request) {
    if (request.target_call == 0)
        return;
    request.target_call = ++state.last_target_call; // later data of the old call is ignored
    state.http.cancel(request.http);
    if (state.settings.kind == target_kind::plain)
        return;
    auto call = post(state, "/cancel", json{{"request", request.key.request_id}});
    call.timeout = probe_timeout;
    state.http.send(std::move(call), [](edge::client_result&&) {});
}

void send_load(agent_state& state, const std::string& model, time_point now) {
    const core::memory::replica& replica = state.ledger.replicas().at(model);
    const std::string weights = state.settings.platform.empty()
                                    ? ""
                                    : "http://" + state.settings.platform + "/weights/" +
                                          state.settings.service + "/" + model + "/" + replica.version;
    auto call = post(state, "/load",
                     json{{"model", model},
                          {"version", replica.version},
                          {"bytes", replica.bytes},
                          {"fencing", next_fencing(state)},
                          {"weights", weights}});
    call.timeout = std::max(min_load_timeout, std::chrono::ceil<milliseconds>(replica.load_by - now));
    send_order(state, order_kind::load, {model, ""}, std::move(call));
}

void send_unload(agent_state& state, const std::string& model) {
    const auto found = state.ledger.replicas().find(model);
    const std::string version = found == state.ledger.replicas().end() ? "" : found->second.version;
    auto call = post(state, "/unload",
                     json{{"model", model}, {"version", version}, {"fencing", next_fencing(state)}});
    call.timeout = unload_timeout;
    send_order(state, order_kind::unload, {model, ""}, std::move(call));
}

void send_adapter_load(agent_state& state, const core::memory::adapter_key& key, std::int64_t bytes) {
    auto call = post(
        state, "/adapter",
        json{
            {"model", key.model}, {"adapter", key.name}, {"bytes", bytes}, {"fencing", next_fencing(state)}});
    call.timeout = unload_timeout;
    send_order(state, order_kind::adapter_load, key, std::move(call));
}

void send_adapter_unload(agent_state& state, const core::memory::adapter_key& key) {
    auto call = post(state, "/adapter/unload",
                     json{{"model", key.model}, {"adapter", key.name}, {"fencing", next_fencing(state)}});
    call.timeout = unload_timeout;
    send_order(state, order_kind::adapter_unload, key, std::move(call));
}

void probe_target(agent_state& state, time_point now) {
    if (state.probing || (!state.probe_requested && now < state.next_probe))
        return;
    state.probing = true;
    state.probe_requested = false;
    const bool plain = state.settings.kind == target_kind::plain;
    state.next_probe = now + (plain || state.ledger.settled() ? probe_interval : unsettled_probe_interval);
    edge::client_request call;
    call.url = url(state, plain ? "/healthz" : "/state");
    call.timeout = probe_timeout;
    call.send_once = true; // a reused connection could belong to an earlier process of the target
    auto& ring = state.ring;
    state.http.send(std::move(call), [&ring, plain, mark = state.ledger.mark(now),
                                      number = ++state.last_probe](edge::client_result&& result) {
        probe_result probe;
        if (result.outcome == edge::client_outcome::not_sent)
            probe.outcome = probe_outcome::unreachable;
        else if (result.outcome == edge::client_outcome::answered && result.status == 200 && plain)
            probe.outcome = probe_outcome::up;
        else if (result.outcome == edge::client_outcome::answered && result.status == 200)
            probe = read_state(result.body).value_or(probe_result{});
        probe.mark = mark;
        probe.number = number;
        ring.push(std::move(probe));
    });
}

} // namespace waxwinglb::programs::agent
