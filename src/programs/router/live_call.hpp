/// An admitted request that has not ended yet.
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
    live_call(call_id number, core::routing::call_options options, arrival incoming)
        : id(number), state_machine(std::move(options)), request(std::move(incoming)) {}

    call_id id;
    core::routing::call state_machine;
    arrival request;
    std::string service;
    std::string model;    // empty for a plain service
    std::string customer; // empty on a route open to all
    std::string key_id;   // checked again when the configuration changes
    std::string key_digest;
    double weight = 1;       // of the customer
    std::int64_t cost = 0;   // tokens to reserve
    std::string fingerprint; // of model and body; identifies a request that crashes targets
    core::limits::reservation_id reservation = 0;
    bool reserved = false;
    std::set<std::string> avoid;                  // targets tried before
    core::common::milliseconds retry_pause{0};    // before targets are tried again
    core::common::time_point retry_at{};          // during a pause: time of the next placement
    std::string address;                          // of the chosen target's agent
    std::optional<std::string> unreported_target; // target whose `unreported` includes this call
    wire::claim_record claim;                     // of a call that runs at most once
    bool claim_granted = false;
    completion completion_info;          // of chat
    core::routing::engine_answer engine; // of chat: parses the engine's output
    bool streaming = false;              // the HTTP answer has begun
    bool first_byte_sent = false;
    bool ended = false;
    core::common::time_point placing_since{}; // time of the request for a target
    bool cold = false;                        // the model had no replica then
    core::common::time_point timer_at{};      // its entry in the timer index
    core::common::milliseconds held_retry{0}; // from the holder of the customer's bucket
};

} // namespace waxwinglb::programs::router
