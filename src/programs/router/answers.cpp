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

struct told {
    int status;
    const char* title;
};

told tell(end_reason reason) {
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

/// Text of a target may hold broken UTF-8; it is replaced rather than thrown at the caller.
std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage(const completion& about) {
    return {{"prompt_tokens", about.prompt_tokens},
            {"completion_tokens", about.used_tokens},
            {"total_tokens", about.prompt_tokens + about.used_tokens}};
}

json stream_chunk(const completion& about, json delta, json finish_reason) {
    return {{"id", about.request_id},
            {"object", "chat.completion.chunk"},
            {"created", about.created},
            {"model", about.model},
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
    const told words = tell(end.reason);
    return {
        core::routing::code_of(end.reason), words.status, words.title, end.ran, request_id, end.retry_after};
}

edge::http_response completion_response(const completion& about, std::string_view text) {
    const json message{{"role", "assistant"}, {"content", text}};
    const json body{
        {"id", about.request_id},
        {"object", "chat.completion"},
        {"created", about.created},
        {"model", about.model},
        {"choices",
         json::array({{{"index", 0}, {"message", message}, {"finish_reason", about.finish_reason}}})},
        {"usage", usage(about)}};
    return {200, {{"Content-Type", "application/json"}}, dump(body)};
}

std::string completion_event(const completion& about, std::string_view text) {
    return "data: " + dump(stream_chunk(about, {{"content", text}}, nullptr)) + "\n\n";
}

std::string completion_end(const completion& about) {
    json last = stream_chunk(about, json::object(), about.finish_reason);
    last["usage"] = usage(about);
    return "data: " + dump(last) + "\n\ndata: [DONE]\n\n";
}

} // namespace waxwinglb::programs::router
