/// The sequence of steps, and what the pass keeps of models and their demand.
#include "core/load_planning/planning_pass.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwinglb::core::load_planning {

planning_pass::planning_pass(planner_input input, const planner_limits& limits, common::time_point now)
    : engine_(*input.engine), limits_(limits), now_(now), targets_(std::move(input.targets)),
      demands_(std::move(input.demands)), store_loads_(input.store_loads_under_way),
      adapter_reserve_(adapter_reserve()), rooms_(targets_.size()) {
    for (const auto& [ref, asked] : demands_)
        add_demand(facts_[ref.model].all, asked);
    for (const target_state& target : targets_)
        add_holdings(target);
}

std::vector<planned_order> planning_pass::run() {
    if (limits_.by_speed)
        use_rooms();
    load_requested_models();
    load_requested_adapters();
    replace_leaving_replicas();
    if (limits_.by_speed)
        add_replicas_by_speed();
    else
        add_replicas();
    make_first_copies();
    return std::move(orders_);
}

void planning_pass::add_holdings(const target_state& target) {
    for (const auto& [model, use] : target.models) {
        model_facts& facts = facts_[model];
        facts.replicas += target.serves ? 1 : 0;
        facts.capacity += target.serves ? target.speed : 0;
        facts.has_copy = facts.has_copy || !target.leaving;
        facts.leaves = facts.leaves || target.leaving;
    }
    if (target.leaving)
        return;
    for (const auto* copies : {&target.copies_in_memory, &target.copies_on_disk})
        for (const std::string& model : *copies)
            facts_[model].has_copy = true;
}

const planning_pass::model_facts& planning_pass::facts_of(const std::string& model) const {
    static const model_facts none;
    const auto found = facts_.find(model);
    return found == facts_.end() ? none : found->second;
}

void planning_pass::note_load(target_state& target, const std::string& model) {
    target.models[model].last_used = now_;
    model_facts& facts = facts_[model];
    facts.replicas += target.serves ? 1 : 0;
    facts.capacity += target.serves ? target.speed : 0;
    facts.has_copy = true;
    forget_rooms(model);
}

void planning_pass::note_unload(const target_state& target, const std::string& model) {
    if (!limits_.by_speed || !target.serves)
        return;
    model_facts& facts = facts_[model];
    --facts.replicas;
    facts.capacity -= target.speed;
    forget_rooms(model);
}

void planning_pass::forget_rooms(const std::string& model) {
    for (std::size_t i = 0; i < targets_.size(); ++i)
        if (targets_[i].models.contains(model))
            rooms_[i].clear();
}

std::vector<planning_pass::model_need> planning_pass::needs_by_name() const {
    std::vector<model_need> needs;
    for (const auto& [ref, asked] : demands_)
        if ((needs.empty() || needs.back().model != ref.model) && engine_.models.contains(ref.model))
            needs.push_back({ref.model, facts_of(ref.model).all});
    return needs;
}

std::vector<planning_pass::model_need> planning_pass::needs_in_order() const {
    std::vector<model_need> needs = needs_by_name();
    std::erase_if(needs, [](const model_need& need) { return need.all.waiting <= 0; });
    std::sort(needs.begin(), needs.end(), [](const model_need& a, const model_need& b) {
        return std::tie(a.all.priority, a.all.oldest) < std::tie(b.all.priority, b.all.oldest);
    });
    return needs;
}

} // namespace waxwinglb::core::load_planning
