/// Decides which models and adapters the targets should load or unload next, from what callers ask for now.
///
/// The load that it answers: many models, few of them busy at a time and those change within seconds; rare
/// ones are asked for once in many seconds and must be back within the first-token aim. Copies on a target's
/// disk or in its memory load in under a second, the weight store takes many seconds and few loads at once.
/// So each model gets a copy on some target while the weight store idles, and models are swapped on demand.
#pragma once

#include "core/load_planning/planner_input.hpp"

#include <string>
#include <vector>

namespace waxwinglb::core::load_planning {

struct planned_order {
    std::string target;
    bool load = true;
    fleet::model_ref what;
    bool from_weight_store = false;
    std::string why; // for the log
};

struct planner_limits {
    int parallel_store_loads = 4;          // loads that the weight store carries at full speed
    int requests_per_replica = 24;         // of one model at one target before another one helps
    double load_factor = 0.5;              // part of a target's slots that may be busy to take a new model
    common::milliseconds running_cost{16}; // load time that one request at a target outweighs
    common::milliseconds settle{1'000};    // a loaded model stays at least so long
    common::milliseconds idle_before_refill{2'000}; // a model idle for so long may give way to a first copy
};

/// At most one order for each target.
[[nodiscard]] std::vector<planned_order> plan(const planner_input& input, const planner_limits& limits,
                                              common::time_point now);

} // namespace waxwinglb::core::load_planning
