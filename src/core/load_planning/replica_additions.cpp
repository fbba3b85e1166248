/// Steps that add replicas of busy models.
#include "core/load_planning/planning_pass.hpp"

#include <algorithm>

namespace waxwinglb::core::load_planning {
namespace {

// With planner_limits::by_speed:
constexpr double min_shortage = 0.01;   // replicas missing, from which another one is loaded
constexpr double urgent_shortage = 1.0; // replicas missing, from which last replicas may go

} // namespace

void planning_pass::add_replicas() {
    for (const auto& [model, all] : needs_by_name()) {
        const int replicas = replicas_of(model);
        const int concurrent = all.running + all.waiting;
        if (replicas == 0 || concurrent <= replicas * limits_.requests_per_replica)
            continue;
        if (is_loading(model))
            continue;
        if (const auto chosen = best_target(model, {limits_.settle, true, limits_.load_factor, true}))
            issue_load(*chosen, model, "its replicas are busy");
    }
}

void planning_pass::add_replicas_by_speed() {
    struct shortage {
        std::string model;
        double missing = 0; // replicas at targets of the usual speed
        std::set<std::string> chosen;
    };
    std::vector<shortage> shortages;
    for (const auto& [model, all] : needs_by_name()) {
        const model_facts& facts = facts_of(model);
        const double missing = replicas_needed(model) - facts.capacity - facts.planned;
        if (facts.replicas > 0 && missing > min_shortage)
            shortages.push_back({model, missing, {}});
    }
    while (!shortages.empty()) {
        std::stable_sort(shortages.begin(), shortages.end(),
                         [](const auto& a, const auto& b) { return a.missing > b.missing; });
        for (shortage& one : shortages)
            add_replica(one.model, one.missing, one.chosen);
        std::erase_if(shortages, [](const shortage& one) { return one.missing <= min_shortage; });
    }
}

void planning_pass::add_replica(const std::string& model, double& missing,
                                std::set<std::string>& chosen_before) {
    const auto search = [&](kept_models kept) {
        target_search where{limits_.settle, true, limits_.load_factor, true};
        where.kept = kept;
        where.not_at = &chosen_before;
        return best_target(model, where);
    };
    auto chosen = search(kept_models::one_of_each);
    if (!chosen && missing >= urgent_shortage)
        chosen = search(kept_models::in_demand);
    if (!chosen) {
        missing = 0;
        return;
    }
    chosen_before.insert(chosen->target->id);
    missing -= chosen->target->speed;
    issue_load(*chosen, model, "its replicas are busy");
}

bool planning_pass::is_loading(const std::string& model) const {
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](const target_state& target) { return target.coming.contains(model); });
}

} // namespace waxwinglb::core::load_planning
