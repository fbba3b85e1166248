/// Decides which models and adapters the targets should load or unload next, based on current demand.
/// Used by the gateway; the steward plans its replica sets with core/placement.
///
/// The expected workload: many models, of which few are busy at a time, and the busy ones change within
/// seconds. A rare model is requested once in many seconds and must be loaded in time for the first-token
/// goal. Copies on a target's disk or in its memory load in under a second; a load from the weight store
/// takes many seconds, and the store serves few at once. So each model gets a copy on some target while the
/// weight store is idle, and models are swapped on demand.
#pragma once

#include "core/load_planning/planner_input.hpp"

#include <string>
#include <vector>

namespace waxwinglb::core::load_planning {

struct planned_order {
    std::string target;
    bool load = true;
    fleet::model_ref ref;
    bool from_weight_store = false;
    std::string why;        // reason, for the log
    std::string room_for{}; // of an unload: the model that is to be loaded instead
};

struct planner_limits {
    int parallel_store_loads = 4;  // loads that the weight store carries at full speed
    int requests_per_replica = 24; // concurrent; a model with more gets another replica
    double load_factor = 0.5; // largest fraction of slots in use at which a target gets a further replica
    common::milliseconds running_cost{16}; // added to a target's cost for each request that runs there
    common::milliseconds settle{1'000};    // a model used more recently is not unloaded for another
    common::milliseconds idle_before_refill{2'000}; // same, if the other is loaded only to make a copy
    /// Counts replicas by the speeds of their targets, adds as many at once as demand needs, prefers fast
    /// targets for them, and keeps what was loaded just now, what is in demand, and the last replica of a
    /// model.
    bool by_speed = false;
};

/// Returns at most one order for each target.
[[nodiscard]] std::vector<planned_order> plan(planner_input input, const planner_limits& limits,
                                              common::time_point now);

} // namespace waxwinglb::core::load_planning
