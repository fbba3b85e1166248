/// How long a request waits for a target, and the retry delay for its caller if it is refused.
///
/// Meant for overload that lasts some seconds and for models that load within a second (swapped in) or within
/// many (fetched), and for targets that ask for some time without requests or for a lower rate. A request
/// that can't be answered before its deadline, or whose targets are all paused, or in use by others, beyond
/// its target latency, is refused at once, with the time after which there will be room. A request that may
/// still be answered on time waits, but not until its deadline.
#pragma once

#include "core/dispatch/request_target_choice.hpp"

namespace waxwinglb::core::dispatch {

struct wait_context {
    common::time_point since{}; // start of its wait
    common::time_point arrived{};
    common::time_point deadline{};
    common::milliseconds aim{1'000}; // an answer within this time is on time
    std::optional<common::time_point>
        model_ready; // earliest expected time at which a target has its model loaded
    std::optional<common::time_point> back_at; // when the first of its paused or limited targets takes it
    std::uint64_t number = 0; // of the request; spreads the retries of requests refused together
};

struct wait_decision {
    common::time_point until{};     // end of the wait; if not after now, the request is refused
    common::duration retry_after{}; // sent with a refusal
};

[[nodiscard]] wait_decision decide_wait(obstacle reason, const wait_context& context, common::time_point now);

/// Earliest time at which one of the candidates could have `model` loaded: by a load that is under way, or by
/// a load that starts now from the nearest copy. nullopt if all candidates are leaving.
[[nodiscard]] std::optional<common::time_point>
earliest_ready(std::span<const candidate> candidates, const fleet::model_spec& model, common::time_point now);

} // namespace waxwinglb::core::dispatch
