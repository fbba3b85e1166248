#include "programs/router/answers.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::router {
namespace {

using core::routing::end_reason;
using core::routing::run_state;
using nlohmann::json;

const char* name_of(run_state ran) {
    switch (ran) {
    case run_state::not_run:
        return "not_run";
    case run_state::run:
        return "run";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

struct problem_text {
    int status;
    const char* title;
};

problem_text describe_reason(end_reason reason) {
    switch (reason) {
    case end_reason::rate_limited:
        return {429, "The customer's rate is spent."};
    case end_reason::not_fresh:
        return {503, "This router's configuration is out of date."};
    case end_reason::store_unavailable:
        return {503, "No decision could be had in time."};
    case end_reason::no_replica:
        return {503, "No target takes this work now."};
    case end_reason::deadline_too_short:
        return {503, "The deadline can't be met."};
    case end_reason::deadline_passed:
        return {504, "The deadline has passed."};
    case end_reason::overloaded:
        return {503, "The targets are fully loaded."};
    case end_reason::target_unreachable:
        return {503, "The target can't be reached."};
    case end_reason::target_lost:
        return {502, "The target was lost."};
    case end_reason::target_failed:
        return {502, "The target failed."};
    case end_reason::quarantined:
        return {422, "This request has crashed targets and is not run."};
    case end_reason::key_withdrawn:
        return {401, "The key has been withdrawn."};
    case end_reason::still_running:
        return {409, "An earlier call with this Idempotency-Key may still run."};
    case end_reason::outcome_unknown:
        return {409, "The outcome of an earlier call with this key is unknown."};
    case end_reason::answer_not_kept:
        return {410, "An earlier call with this key ran; its answer is no longer kept."};
    case end_reason::body_mismatch:
        return {422, "This Idempotency-Key came with another request before."};
    case end_reason::completed:
    case end_reason::kept_answer:
    case end_reason::caller_gone:
        break;
    }
    return {500, "The request ended."};
}

std::string retry_after_seconds(core::common::milliseconds wait) {
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

/// Replaces invalid UTF-8, which text of a target may contain, since dump() throws on it by default.
std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage(const completion& info) {
    return {{"prompt_tokens", info.prompt_tokens},
            {"completion_tokens", info.used_tokens},
            {"total_tokens", info.prompt_tokens + info.used_tokens}};
}

json stream_chunk(const completion& info, json delta, json finish_reason) {
    return {{"id", info.request_id},
            {"object", "chat.completion.chunk"},
            {"created", info.created},
            {"model", info.model},
            {"choices", json::array({{{"index", 0},
                                      {"delta", std::move(delta)},
                                      {"finish_reason", std::move(finish_reason)}}})}};
}

} // namespace

std::string to_json(const problem& value) {
    json out{
        {"code", value.code}, {"status", value.status}, {"title", value.title}, {"ran", name_of(value.ran)}};
    if (!value.request_id.empty())
        out["request_id"] = value.request_id;
    return dump(out);
}

edge::http_response to_response(const problem& value) {
    edge::http_response out{value.status, {{"Content-Type", "application/problem+json"}}, to_json(value)};
    if (value.retry_after.count() > 0)
        out.headers.push_back({"Retry-After", retry_after_seconds(value.retry_after)});
    return out;
}

std::string to_event(const problem& value) {
    return "event: error\ndata: " + to_json(value) + "\n\n";
}

problem describe_end(const core::routing::ending& end, const std::string& request_id) {
    const problem_text text = describe_reason(end.reason);
    return {
        core::routing::code_of(end.reason), text.status, text.title, end.ran, request_id, end.retry_after};
}

edge::http_response completion_response(const completion& info, std::string_view text) {
    const json message{{"role", "assistant"}, {"content", text}};
    const json body{
        {"id", info.request_id},
        {"object", "chat.completion"},
        {"created", info.created},
        {"model", info.model},
        {"choices",
         json::array({{{"index", 0}, {"message", message}, {"finish_reason", info.finish_reason}}})},
        {"usage", usage(info)}};
    return {200, {{"Content-Type", "application/json"}}, dump(body)};
}

std::string completion_event(const completion& info, std::string_view text) {
    return "data: " + dump(stream_chunk(info, {{"content", text}}, nullptr)) + "\n\n";
}

std::string completion_end(const completion& info) {
    json last = stream_chunk(info, json::object(), info.finish_reason);
    last["usage"] = usage(info);
    return "data: " + dump(last) + "\n\ndata: [DONE]\n\n";
}

} // namespace waxwinglb::programs::router
