/// Parses the body of an OpenAI-style POST /v1/chat/completions. Invalid input gives an error text for the
/// caller.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace waxwinglb::core::routing {

struct chat_request {
    std::string model;              // "NAME" or "SERVICE/NAME"
    std::string adapter;            // from "NAME:ADAPTER"; empty: none
    std::string prompt;             // contents of all messages, one per line
    std::int64_t prompt_tokens = 0; // estimate, charged to the customer's rate
    std::int64_t max_tokens = 0;    // limit for the answer
    int priority = 0;               // higher runs first within one customer
    bool stream = false;
};

struct bad_request {
    std::string title; // what was expected; never contains text of the request
};

constexpr std::int64_t default_max_tokens = 256;
constexpr std::int64_t max_max_tokens = 131'072; // larger answers are refused
constexpr int max_priority = 9;

[[nodiscard]] std::variant<chat_request, bad_request> read_chat_request(std::string_view body);

/// Estimated tokens of a text: one plus one for every four bytes.
[[nodiscard]] std::int64_t estimate_tokens(std::string_view text);

/// Value of a timeout header in ms; 0 if it isn't a positive integer of at most 24 hours.
[[nodiscard]] std::int64_t read_timeout_ms(std::string_view text);

} // namespace waxwinglb::core::routing
