#include "core/routing/replica_choice.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::routing {
namespace {

constexpr double remote_penalty = 0.15; // added to the load of a replica in another data centre
constexpr double bounded_load =
    1.25; // a target above this multiple of the mean load gets no more adapter requests
constexpr double spare_load = 0.5; // below this load affinity always holds

bool usable(const replica& option, const replica_criteria& criteria) {
    if (!option.ready || option.draining || criteria.avoid.contains(option.target))
        return false;
    return criteria.excluded_data_centres == nullptr ||
           !criteria.excluded_data_centres->contains(option.data_centre);
}

double cost_of(const replica& option, const replica_criteria& criteria) {
    const bool in_other_data_centre =
        !criteria.own_data_centre.empty() && option.data_centre != criteria.own_data_centre;
    return load_of(option) + (in_other_data_centre ? remote_penalty : 0);
}

/// The adapter's highest-ranked target whose load is within the bound; the highest-ranked one if none is.
const replica* choose_by_adapter(const std::vector<const replica*>& candidates, const std::string& adapter) {
    double total = 0;
    for (const replica* option : candidates)
        total += load_of(*option);
    const double bound = std::max(spare_load, bounded_load * total / static_cast<double>(candidates.size()));
    std::vector<const replica*> ranked = candidates;
    std::sort(ranked.begin(), ranked.end(), [&](const replica* a, const replica* b) {
        return common::rendezvous_rank(a->target, adapter) > common::rendezvous_rank(b->target, adapter);
    });
    const auto found = std::find_if(ranked.begin(), ranked.end(),
                                    [&](const replica* option) { return load_of(*option) <= bound; });
    return found == ranked.end() ? ranked.front() : *found;
}

} // namespace

double load_of(const replica& option) {
    return static_cast<double>(option.running + option.waiting + option.unreported) /
           std::max(1, option.limit);
}

const replica* choose(const std::vector<replica>& replicas, const replica_criteria& criteria) {
    std::vector<const replica*> candidates;
    for (const replica& option : replicas)
        if (usable(option, criteria))
            candidates.push_back(&option);
    if (candidates.empty())
        return nullptr;
    if (!criteria.adapter.empty())
        return choose_by_adapter(candidates, criteria.adapter);
    const std::size_t count = candidates.size();
    const std::size_t first = (criteria.random & 0xffffffffU) % count;
    if (count == 1)
        return candidates.front();
    const std::size_t second = (first + 1 + (criteria.random >> 32U) % (count - 1)) % count;
    const replica* a = candidates[first];
    const replica* b = candidates[second];
    return cost_of(*b, criteria) < cost_of(*a, criteria) ? b : a;
}

} // namespace waxwinglb::core::routing
