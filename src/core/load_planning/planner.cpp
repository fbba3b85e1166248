#include "core/load_planning/planner.hpp"

#include "core/load_planning/planning_pass.hpp"

#include <utility>

namespace waxwinglb::core::load_planning {

std::vector<planned_order> plan(planner_input input, const planner_limits& limits, common::time_point now) {
    return planning_pass{std::move(input), limits, now}.run();
}

} // namespace waxwinglb::core::load_planning
