/// One request that has been admitted and not yet ended.
#pragma once

#include "core/limits/grant_cache.hpp"
#include "core/retries/token_bucket_budget.hpp"
#include "core/routing/call.hpp"
#include "core/routing/engine_answer.hpp"
#include "programs/router/answers.hpp"
#include "programs/router/events.hpp"
#include "programs/router/rates.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace waxwinglb::programs::router {

struct live_call {
    live_call(call_id number, core::routing::call_options options, arrival request)
        : id(number), machine(std::move(options)), from(std::move(request)) {}

    call_id id;
    core::routing::call machine;
    arrival from;
    std::string service;
    std::string model;    // empty for a plain service
    std::string customer; // empty on a route open to all
    std::string key_id;   // checked again while the call is open
    std::string key_digest;
    double weight = 1;       // of the customer
    std::int64_t cost = 0;   // tokens to reserve
    std::string fingerprint; // of model and body, for the quarantine
    core::limits::reservation_id reservation = 0;
    bool reserved = false;
    std::set<std::string> avoid;            // targets tried before
    core::common::milliseconds pause{0};    // before they are tried again
    core::common::time_point tries_again{}; // while it pauses: when it is placed again
    std::string address;                    // of the chosen target's agent
    std::optional<std::string> load_on;     // target that counts this call as unreported
    wire::claim_record claim;               // of calls that run at most once
    bool claim_granted = false;
    completion about;                    // of chat
    core::routing::engine_answer engine; // of chat: reads the answer's lines
    bool streaming = false;              // the HTTP answer has begun
    bool answered_byte = false;
    bool ended = false;
    core::common::time_point placing_since{}; // asked for a target
    bool cold = false;                        // and its model had no replica then
    core::common::time_point wakes{};         // its place in the timer index
    core::common::milliseconds held_retry{0}; // what the rate's holder told
};

} // namespace waxwinglb::programs::router
