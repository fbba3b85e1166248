/// Bodies of answers to callers: problems, OpenAI-style completions and server-sent events.
#pragma once

#include "core/routing/call.hpp"
#include "edge/http_server.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwinglb::programs::router {

struct problem {
    std::string code; // part of the API
    int status = 500;
    std::string title; // human-readable sentence
    core::routing::run_state ran = core::routing::run_state::not_run;
    std::string request_id;                    // empty before it is assigned
    core::common::milliseconds retry_after{0}; // 0: none
};

[[nodiscard]] std::string to_json(const problem& value);
[[nodiscard]] edge::http_response to_response(const problem& value);
[[nodiscard]] std::string to_event(const problem& value); // error event that ends a stream

/// Problem that the caller gets for a call's end; not for completed and kept answers.
[[nodiscard]] problem describe_end(const core::routing::ending& end, const std::string& request_id);

struct completion {
    std::string request_id;
    std::string model;
    std::int64_t created = 0; // Unix seconds
    std::int64_t prompt_tokens = 0;
    std::int64_t used_tokens = 0;
    std::string finish_reason = "stop";
};
[[nodiscard]] edge::http_response completion_response(const completion& info, std::string_view text);
[[nodiscard]] std::string completion_event(const completion& info, std::string_view text);
[[nodiscard]] std::string completion_end(const completion& info);

} // namespace waxwinglb::programs::router
