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
constexpr milliseconds least_load_timeout{1'000};
constexpr milliseconds probe_every{500};
constexpr milliseconds probe_unsettled_every{50};  // until it is known what the engine holds
constexpr std::int64_t orders_per_boot_ms = 1'000; // fencing numbers that a boot number spans

std::string url(const state& all, const std::string& path) {
    return "http://" + all.settings.engine + path;
}

edge::client_request post(const state& all, const std::string& path, const json& body) {
    edge::client_request out;
    out.method = "POST";
    out.url = url(all, path);
    out.headers = {{"Content-Type", "application/json"}};
    out.body = body.dump();
    out.send_once = true;
    return out;
}

/// Headers that concern one connection, or that could carry a caller's key.
bool may_forward(const wire::header_field& field) {
    static const std::set<std::string> kept_back{
        "host", "connection", "content-length", "transfer-encoding", "authorization", "proxy-authorization",
        "te",   "cookie",     "keep-alive",     "upgrade",           "x-api-key",     "expect"};
    std::string name = field.name;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return !kept_back.contains(name) && field.value.find("wxk_") == std::string::npos;
}

void send_request(state& all, request& one, edge::client_request call) {
    one.target_call = ++all.last_target_call;
    auto& ring = all.ring;
    const auto id = one.id;
    const auto number = one.target_call;
    one.http = all.http.send(
        std::move(call),
        [&ring, id, number](edge::client_result&& result) {
            ring.push(target_done{id, number, std::move(result)});
        },
        [&ring, id, number](int status, std::string_view data) {
            ring.push(target_data{id, number, status, std::string{data}});
        });
}

/// A little past the deadline, which the deciding thread ends itself.
milliseconds call_timeout(const request& one, time_point now) {
    constexpr milliseconds margin{1'000};
    return std::chrono::ceil<milliseconds>(std::max(one.deadline, now) - now) + margin;
}

edge::client_request plain_call(const state& all, const request& one) {
    edge::client_request out;
    out.method = one.message.method;
    out.url = url(all, one.message.path);
    for (const wire::header_field& field : one.message.headers)
        if (may_forward(field))
            out.headers.push_back({field.name, field.value});
    out.headers.push_back({"X-Request-Id", one.key.request_id});
    out.body = one.message.body;
    out.send_once = !one.message.repeatable;
    return out;
}

edge::client_request generate_call(const state& all, const request& one) {
    json body{{"request", one.key.request_id},
              {"attempt", one.key.attempt},
              {"model", one.message.model},
              {"adapter", one.message.adapter},
              {"prompt", prompt_of(one.message.body).value_or("")},
              {"priority", one.message.priority}};
    if (one.message.max_tokens > 0)
        body["max_tokens"] = one.message.max_tokens;
    auto out = post(all, "/generate", body);
    out.stall_timeout = all.settings.stall_timeout;
    return out;
}

std::int64_t next_fencing(state& all) {
    all.last_fencing = std::max(all.last_fencing + 1, all.boot * orders_per_boot_ms);
    return all.last_fencing;
}

/// What an order's answer says of its effect; anything doubtful is settled by reading the engine's state.
order_outcome outcome_of(order_kind kind, const edge::client_result& result) {
    if (result.outcome == edge::client_outcome::not_sent)
        return order_outcome::not_sent;
    if (result.outcome != edge::client_outcome::answered)
        return order_outcome::lost;
    if (result.status == 200)
        return order_outcome::done;
    const bool conflict_did_nothing = kind != order_kind::load;
    const bool refused = result.status == 507 || result.status == 404 || result.status == 400 ||
                         (result.status == 409 && conflict_did_nothing);
    return refused ? order_outcome::refused : order_outcome::lost;
}

void send_order(state& all, order_kind kind, const core::memory::adapter_key& key,
                edge::client_request call) {
    auto& ring = all.ring;
    all.http.send(std::move(call), [&ring, kind, key](edge::client_result&& result) {
        ring.push(order_done{kind, key, outcome_of(kind, result), result.status});
    });
}

/// nullopt if the answer is not of the protocol's form.
std::optional<probe_done> read_state(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        probe_done out;
        out.outcome = probe_outcome::up;
        out.view.boot = parsed.at("boot_id").get<std::int64_t>();
        out.view.memory_bytes = parsed.value("memory_bytes", std::int64_t{0});
        out.view.used_bytes = parsed.value("used_bytes", std::int64_t{0});
        out.cold = parsed.value("cold", false);
        for (const json& one : parsed.at("models"))
            out.view.models.push_back(
                {one.at("model").get<std::string>(), one.value("version", std::string{}),
                 one.value("bytes", std::int64_t{0}), one.value("adapters", std::vector<std::string>{})});
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::optional<std::string> prompt_of(const std::string& chat_body) {
    const json body = json::parse(chat_body, nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array())
        return std::nullopt;
    std::string out;
    for (const json& message : body["messages"]) {
        if (!message.is_object() || !message.contains("content"))
            return std::nullopt;
        const json& content = message["content"];
        if (!content.is_string() && !content.is_array())
            return std::nullopt;
        if (!out.empty())
            out += "\n";
        if (content.is_string()) {
            out += content.get<std::string>();
            continue;
        }
        for (const json& part : content)
            if (part.is_object() && part.contains("text") && part["text"].is_string())
                out += part["text"].get<std::string>();
    }
    return out;
}

void start_call(state& all, request& one, time_point now) {
    one.started = now;
    auto call = all.settings.kind == target_kind::plain ? plain_call(all, one) : generate_call(all, one);
    call.timeout = call_timeout(one, now);
    send_request(all, one, std::move(call));
}

void resume_call(state& all, request& one, time_point now) {
    ++one.resumes;
    one.settling = false;
    one.partial_line.clear();
    all.metrics.resumes.Increment();
    auto call = post(all, "/resume", json{{"request", one.key.request_id}, {"from", one.next_index}});
    call.stall_timeout = all.settings.stall_timeout;
    call.timeout = call_timeout(one, now);
    send_request(all, one, std::move(call));
}

void cancel_call(state& all, request& one) {
    if (one.target_call == 0)
        return;
    one.target_call = ++all.last_target_call; // what still comes is void
    all.http.cancel(one.http);
    if (all.settings.kind == target_kind::plain)
        return;
    auto call = post(all, "/cancel", json{{"request", one.key.request_id}});
    call.timeout = probe_timeout;
    all.http.send(std::move(call), [](edge::client_result&&) {});
}

void send_load(state& all, const std::string& model, time_point now) {
    const core::memory::replica& one = all.ledger.replicas().at(model);
    const std::string weights = all.settings.platform.empty()
                                    ? ""
                                    : "http://" + all.settings.platform + "/weights/" + all.settings.service +
                                          "/" + model + "/" + one.version;
    auto call = post(all, "/load",
                     json{{"model", model},
                          {"version", one.version},
                          {"bytes", one.bytes},
                          {"fencing", next_fencing(all)},
                          {"weights", weights}});
    call.timeout = std::max(least_load_timeout, std::chrono::ceil<milliseconds>(one.load_by - now));
    send_order(all, order_kind::load, {model, ""}, std::move(call));
}

void send_unload(state& all, const std::string& model) {
    const auto found = all.ledger.replicas().find(model);
    const std::string version = found == all.ledger.replicas().end() ? "" : found->second.version;
    auto call =
        post(all, "/unload", json{{"model", model}, {"version", version}, {"fencing", next_fencing(all)}});
    call.timeout = unload_timeout;
    send_order(all, order_kind::unload, {model, ""}, std::move(call));
}

void send_adapter_load(state& all, const core::memory::adapter_key& key, std::int64_t bytes) {
    auto call = post(
        all, "/adapter",
        json{{"model", key.model}, {"adapter", key.name}, {"bytes", bytes}, {"fencing", next_fencing(all)}});
    call.timeout = unload_timeout;
    send_order(all, order_kind::adapter_load, key, std::move(call));
}

void send_adapter_unload(state& all, const core::memory::adapter_key& key) {
    auto call = post(all, "/adapter/unload",
                     json{{"model", key.model}, {"adapter", key.name}, {"fencing", next_fencing(all)}});
    call.timeout = unload_timeout;
    send_order(all, order_kind::adapter_unload, key, std::move(call));
}

void probe_target(state& all, time_point now) {
    if (all.probing || (!all.probe_soon && now < all.next_probe))
        return;
    all.probing = true;
    all.probe_soon = false;
    const bool plain = all.settings.kind == target_kind::plain;
    all.next_probe = now + (plain || all.ledger.settled() ? probe_every : probe_unsettled_every);
    edge::client_request call;
    call.url = url(all, plain ? "/healthz" : "/state");
    call.timeout = probe_timeout;
    call.send_once = true; // a reused connection could belong to a process that is gone
    auto& ring = all.ring;
    all.http.send(std::move(call), [&ring, plain, mark = all.ledger.mark(now),
                                    number = ++all.last_probe](edge::client_result&& result) {
        probe_done out;
        if (result.outcome == edge::client_outcome::not_sent)
            out.outcome = probe_outcome::gone;
        else if (result.outcome == edge::client_outcome::answered && result.status == 200 && plain)
            out.outcome = probe_outcome::up;
        else if (result.outcome == edge::client_outcome::answered && result.status == 200)
            out = read_state(result.body).value_or(probe_done{});
        out.mark = mark;
        out.number = number;
        ring.push(std::move(out));
    });
}

} // namespace waxwinglb::programs::agent
