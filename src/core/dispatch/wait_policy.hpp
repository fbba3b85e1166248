/// How long a request waits for a place, and when its caller should come back if it doesn't.
///
/// The load that it answers: far more requests than places for some seconds, models that are swapped in
/// within a second or fetched in many. What is known to come too late is refused at once, with the time at
/// which there will be room; what may still be answered well waits, but not to its deadline.
#pragma once

#include "core/dispatch/request_target_choice.hpp"

namespace waxwinglb::core::dispatch {

struct wait_context {
    common::time_point since{}; // it has waited since then
    common::time_point arrived{};
    common::time_point deadline{};
    common::milliseconds aim{1'000};               // answers within it are on time
    std::optional<common::time_point> model_ready; // earliest foretold time at which a target holds its model
    std::uint64_t number = 0;                      // spreads the return of those refused together
};

struct wait_decision {
    common::time_point until{};     // it may wait until then; not after now: refuse
    common::duration retry_after{}; // for a refusal
};

[[nodiscard]] wait_decision decide_wait(obstacle why, const wait_context& facts, common::time_point now);

/// Earliest time at which a target could hold `model`: being loaded, or loaded from the nearest copy from now
/// on. Nothing if no target of these may load it.
[[nodiscard]] std::optional<common::time_point>
earliest_ready(std::span<const candidate> candidates, const fleet::model_spec& model, common::time_point now);

} // namespace waxwinglb::core::dispatch
