/// Reads the body of an OpenAI-style POST /v1/chat/completions. Bad input gives a sentence for the caller.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace waxwinglb::core::routing {

struct chat_request {
    std::string model;              // "NAME" or "SERVICE/NAME"
    std::string adapter;            // from "NAME:ADAPTER"; empty: none
    std::string prompt;             // contents of all messages, one a line
    std::int64_t prompt_tokens = 0; // estimate, drawn from the customer's rate
    std::int64_t max_tokens = 0;    // of the answer
    int priority = 0;               // higher goes first within one customer
    bool stream = false;
};

struct bad_request {
    std::string title; // what was expected, without the request's own text
};

constexpr std::int64_t default_max_tokens = 256;
constexpr std::int64_t max_max_tokens = 131'072; // larger answers are refused
constexpr int max_priority = 9;

[[nodiscard]] std::variant<chat_request, bad_request> read_chat_request(std::string_view body);

/// Tokens that a text is taken for: one for each four bytes, at least one.
[[nodiscard]] std::int64_t estimate_tokens(std::string_view text);

/// Milliseconds of a deadline header; 0 if it isn't a positive whole number of at most 24 hours.
[[nodiscard]] std::int64_t read_timeout_ms(std::string_view text);

} // namespace waxwinglb::core::routing
