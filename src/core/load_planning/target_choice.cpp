/// The choice of the target where a model is loaded at the lowest cost.
#include "core/load_planning/planning_pass.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::load_planning {
namespace {

using common::milliseconds;
using common::time_point;

constexpr double unload_cost_ms = 30.0;  // for each model that has to be unloaded first
constexpr double victim_cost_ms = 300.0; // for each request per second that such a model receives
// With planner_limits::by_speed:
constexpr double slowness_cost_ms = 400.0; // of a target of half the usual speed, against a usual one

} // namespace

std::optional<planning_pass::candidate> planning_pass::best_target(const std::string& model,
                                                                   const target_search& where) {
    std::optional<candidate> best;
    for (target_state& target : targets_) {
        if (!target.serves || target.models.contains(model))
            continue;
        if (where.not_at != nullptr && where.not_at->contains(target.id))
            continue;
        if (target.running > where.max_busy_share * engine_.slots * speed_of(target))
            continue;
        const copy_tier copy = copy_of(target, model);
        if (copy == copy_tier::store && (!where.from_store || store_loads_ >= limits_.parallel_store_loads))
            continue;
        const auto wait = wait_for(target);
        if (!wait || (*wait > milliseconds{0} && (!where.may_wait || copy == copy_tier::store)))
            continue;
        auto victims = victims_for(target, model, {where.idle, where.kept});
        if (!victims || loses_more(*victims, where.max_lost_rate))
            continue;
        // A busy target runs the new model more slowly.
        double cost = static_cast<double>((*wait + load_time(model, copy)).count());
        cost += static_cast<double>(limits_.running_cost.count()) * target.running / speed_of(target);
        cost += slowness_cost_ms * (1 / speed_of(target) - 1);
        cost += unload_cost_ms * static_cast<double>(victims->size());
        for (const std::string& victim : *victims)
            cost += victim_cost_ms * arrivals_per_replica(victim);
        if (!best || cost < best->cost_ms)
            best = candidate{&target, copy, std::move(*victims), *wait, cost};
    }
    return best;
}

copy_tier planning_pass::copy_of(const target_state& target, const std::string& model) const {
    if (target.copies_in_memory.contains(model))
        return copy_tier::memory;
    return target.copies_on_disk.contains(model) ? copy_tier::disk : copy_tier::store;
}

milliseconds planning_pass::load_time(const std::string& model, copy_tier copy) const {
    const fleet::model_spec& spec = engine_.models.at(model);
    switch (copy) {
    case copy_tier::memory:
        return spec.memory_load;
    case copy_tier::disk:
        return spec.disk_load;
    case copy_tier::store:
        break;
    }
    return spec.store_load;
}

std::optional<milliseconds> planning_pass::wait_for(const target_state& target) const {
    if (target.takes_orders)
        return milliseconds{0};
    if (target.takes_orders_at <= now_ || target.takes_orders_at == time_point::max())
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(target.takes_orders_at - now_);
}

bool planning_pass::loses_more(const std::vector<std::string>& victims, double rate) const {
    return std::any_of(victims.begin(), victims.end(), [&](const std::string& victim) {
        return replicas_of(victim) == 1 && facts_of(victim).all.per_second >= rate;
    });
}

double planning_pass::speed_of(const target_state& target) const {
    return limits_.by_speed ? target.speed : 1;
}

} // namespace waxwinglb::core::load_planning
