/// What may be unloaded at a target for another model, and what is kept.
#include "core/load_planning/planning_pass.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwinglb::core::load_planning {
namespace {

using common::milliseconds;
using common::time_point;

// With planner_limits::by_speed:
constexpr milliseconds min_stay{4'000}; // a model loaded more recently isn't unloaded for a replica
constexpr double spare_share = 0.75;    // unloading a replica must leave the others this full at most
constexpr milliseconds idle_before_loss{10'000}; // a last replica may go only after as long without requests

} // namespace

const planning_pass::room_facts& planning_pass::room_at(const target_state& target,
                                                        const unload_rule& rule) const {
    auto& known = rooms_[static_cast<std::size_t>(&target - targets_.data())];
    const auto found = known.find(rule);
    return found != known.end() ? found->second : known.emplace(rule, find_room(target, rule)).first->second;
}

planning_pass::room_facts planning_pass::find_room(const target_state& target,
                                                   const unload_rule& rule) const {
    room_facts room{engine_.megabytes - adapter_reserve_ - used_mb(target), {}};
    std::vector<std::tuple<double, time_point, std::string>> keyed;
    for (const auto& [name, use] : target.models)
        if (may_be_unloaded(target, name, rule))
            keyed.emplace_back(arrivals_per_replica(name), use.last_used, name);
    std::sort(keyed.begin(), keyed.end());
    for (auto& [arrivals, last_used, name] : keyed)
        room.unloadable.push_back(std::move(name));
    return room;
}

std::optional<std::vector<std::string>> planning_pass::victims_for(const target_state& target,
                                                                   const std::string& model,
                                                                   const unload_rule& rule) const {
    const room_facts& known = room_at(target, rule);
    double room = known.free_mb - spec_mb(model);
    std::vector<std::string> chosen;
    for (const std::string& name : known.unloadable) {
        if (room >= 0)
            break;
        room += spec_mb(name);
        chosen.push_back(name);
    }
    if (room < 0)
        return std::nullopt;
    return chosen;
}

bool planning_pass::may_be_unloaded(const target_state& target, const std::string& model,
                                    const unload_rule& rule) const {
    const auto& [idle, kept] = rule;
    const usage& use = target.models.at(model);
    if (use.running > 0 || target.coming.contains(model) || now_ - use.last_used < idle)
        return false;
    if (facts_of(model).all.waiting > 0 && replicas_of(model) <= 1)
        return false;
    return kept == kept_models::in_use || !is_kept(target, model, kept);
}

bool planning_pass::is_kept(const target_state& target, const std::string& model, kept_models kept) const {
    const usage& use = target.models.at(model);
    const model_facts& facts = facts_of(model);
    if (now_ - use.loaded_at < min_stay)
        return true;
    if (facts.replicas <= 1)
        return kept == kept_models::one_of_each || now_ - use.last_used < idle_before_loss;
    return replicas_needed(model) > spare_share * (facts.capacity - (target.serves ? target.speed : 0));
}

double planning_pass::replicas_needed(const std::string& model) const {
    const demand& all = facts_of(model).all;
    return static_cast<double>(all.running + all.waiting) / std::max(1, limits_.requests_per_replica);
}

double planning_pass::arrivals_per_replica(const std::string& model) const {
    const model_facts& facts = facts_of(model);
    return facts.all.per_second / std::max(1, facts.replicas);
}

double planning_pass::used_mb(const target_state& target) const {
    double sum = 0;
    for (const auto& [model, use] : target.models)
        sum += spec_mb(model);
    for (const auto& [ref, use] : target.adapters)
        if (const auto spec = engine_.models.find(ref.model); spec != engine_.models.end())
            sum += spec->second.adapter_megabytes;
    return sum;
}

double planning_pass::spec_mb(const std::string& model) const {
    const auto spec = engine_.models.find(model);
    return spec == engine_.models.end() ? engine_.megabytes : spec->second.megabytes;
}

double planning_pass::adapter_reserve() const {
    double largest = 0;
    for (const auto& [name, spec] : engine_.models)
        if (spec.adapters > 0)
            largest = std::max(largest, spec.adapter_megabytes);
    return largest * engine_.adapter_places;
}

} // namespace waxwinglb::core::load_planning
