#include "core/load_planning/planner_input.hpp"

#include <algorithm>

namespace waxwinglb::core::load_planning {
namespace {

void add(usage& to, const usage& more) {
    to.running += more.running;
    to.last_used = std::max(to.last_used, more.last_used);
}

} // namespace

void add_use(planner_input& to, const std::string& target, const fleet::model_ref& ref, const usage& use) {
    const auto found =
        std::lower_bound(to.targets.begin(), to.targets.end(), target,
                         [](const target_state& state, const std::string& id) { return state.id < id; });
    if (found == to.targets.end() || found->id != target)
        return;
    found->running += use.running;
    if (const auto model = found->models.find(ref.model); model != found->models.end())
        add(model->second, use);
    if (const auto adapter = found->adapters.find(ref); adapter != found->adapters.end())
        add(adapter->second, use);
    to.demands[ref].running += use.running;
}

void add_demand(demand& to, const demand& more) {
    if (more.waiting > 0) {
        to.oldest = to.waiting > 0 ? std::min(to.oldest, more.oldest) : more.oldest;
        to.priority = to.waiting > 0 ? std::min(to.priority, more.priority) : more.priority;
    }
    to.waiting += more.waiting;
    to.per_second += more.per_second;
    to.running += more.running;
}

} // namespace waxwinglb::core::load_planning
