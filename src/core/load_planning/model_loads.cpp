/// Steps that load models: for waiting requests, for leaving holders, into rooms made, as first copies.
#include "core/load_planning/planning_pass.hpp"

#include <algorithm>

namespace waxwinglb::core::load_planning {
namespace {

using common::milliseconds;
using common::time_point;

constexpr milliseconds unload_time{100}; // usually two round trips; longer while requests of the model finish
constexpr double least_rate_in_use = 0.02; // requests per second of a model that is still in use

} // namespace

void planning_pass::load_requested_models() {
    for (const model_need& need : needs_in_order()) {
        const auto ready = earliest_ready(need.model);
        if ((ready && *ready <= now_) || facts_of(need.model).planned > 0)
            continue;
        const auto chosen = best_target(need.model, {limits_.settle, !ready, 1.0, !waited_too_long(need)});
        if (!chosen || (ready && now_ + chosen->wait + load_time(need.model, chosen->copy) >= *ready))
            continue;
        issue_load(*chosen, need.model, "requests wait for it");
    }
}

std::optional<time_point> planning_pass::earliest_ready(const std::string& model) const {
    std::optional<time_point> earliest;
    if (replicas_of(model) == 0)
        return earliest;
    for (const target_state& target : targets_) {
        if (!target.serves || !target.models.contains(model))
            continue;
        const auto coming = target.coming.find(model);
        const time_point at = coming == target.coming.end() ? now_ : coming->second;
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

bool planning_pass::waited_too_long(const model_need& need) const {
    return now_ - need.all.oldest > load_time(need.model, copy_tier::store);
}

void planning_pass::replace_leaving_replicas() {
    std::vector<model_need> needs = needs_by_name();
    std::erase_if(needs, [&](const model_need& need) {
        const bool in_use = need.all.running > 0 || need.all.per_second >= least_rate_in_use;
        return !in_use || !facts_of(need.model).leaves || replicas_of(need.model) > 0;
    });
    std::stable_sort(needs.begin(), needs.end(), [](const model_need& a, const model_need& b) {
        return a.all.per_second > b.all.per_second;
    });
    for (const model_need& need : needs)
        if (const auto chosen =
                best_target(need.model, {limits_.settle, true, 1.0, true, need.all.per_second}))
            issue_load(*chosen, need.model, "its holders are leaving");
}

void planning_pass::make_first_copies() {
    for (const auto& entry : engine_.models) {
        const std::string& model = entry.first;
        if (store_loads_ >= limits_.parallel_store_loads)
            return;
        if (facts_of(model).has_copy)
            continue;
        if (const auto chosen = best_target(model, {limits_.idle_before_refill, true, 1.0, true}))
            issue_load(*chosen, model, "no target has a copy");
    }
}

void planning_pass::use_rooms() {
    for (target_state& target : targets_) {
        const std::string model = target.room_for;
        if (model.empty() || !target.serves || target.models.contains(model) ||
            !engine_.models.contains(model) || replicas_needed(model) <= facts_of(model).capacity)
            continue;
        if (!target.takes_orders) {
            facts_[model].planned += target.speed;
            continue;
        }
        const auto victims = victims_for(target, model, {limits_.settle, kept_models::one_of_each});
        const copy_tier copy = copy_of(target, model);
        const bool store_is_busy = store_loads_ >= limits_.parallel_store_loads;
        if (victims && victims->empty() && (copy != copy_tier::store || !store_is_busy))
            issue_load({&target, copy, {}, milliseconds{0}, 0}, model, "room was made for it");
    }
}

void planning_pass::issue_load(const candidate& chosen, const std::string& model, const std::string& why) {
    target_state& target = *chosen.target;
    if (chosen.wait > milliseconds{0}) {
        // No order yet: loading the copy there is cheapest once the target takes orders. Other models
        // that wait for this target wait for this load too.
        target.takes_orders_at += load_time(model, chosen.copy);
        return;
    }
    const milliseconds load = load_time(model, chosen.copy);
    mark_busy(target, chosen.victims.empty() ? load : load + unload_time);
    if (!chosen.victims.empty()) {
        orders_.push_back(
            {target.id, false, {chosen.victims.front(), {}}, false, "makes room for " + model, model});
        note_unload(target, chosen.victims.front());
        return;
    }
    const bool store = chosen.copy == copy_tier::store;
    store_loads_ += store ? 1 : 0;
    orders_.push_back({target.id, true, {model, {}}, store, why, {}});
    note_load(target, model);
    target.coming[model] = now_ + load;
}

void planning_pass::mark_busy(target_state& target, milliseconds busy_for) const {
    target.takes_orders = false;
    target.takes_orders_at = now_ + busy_for;
}

} // namespace waxwinglb::core::load_planning
