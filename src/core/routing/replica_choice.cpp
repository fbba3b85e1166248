#include "core/routing/replica_choice.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::routing {
namespace {

constexpr double remote_penalty = 0.15; // load by which the own data centre may be fuller and still win
constexpr double bounded_load = 1.25;   // a target above this multiple of the mean passes its adapters on
constexpr double spare_load = 0.5;      // below this load affinity always holds

bool usable(const replica& one, const replica_criteria& criteria) {
    if (!one.ready || one.draining || criteria.avoid.contains(one.target))
        return false;
    return criteria.excluded_data_centres == nullptr ||
           !criteria.excluded_data_centres->contains(one.data_centre);
}

double cost_of(const replica& one, const replica_criteria& criteria) {
    const bool remote = !criteria.own_data_centre.empty() && one.data_centre != criteria.own_data_centre;
    return load_of(one) + (remote ? remote_penalty : 0);
}

/// The adapter's highest-ranked target whose load is within the bound; never empty-handed.
const replica* choose_by_adapter(const std::vector<const replica*>& candidates, const std::string& adapter) {
    double total = 0;
    for (const replica* one : candidates)
        total += load_of(*one);
    const double bound = std::max(spare_load, bounded_load * total / static_cast<double>(candidates.size()));
    std::vector<const replica*> ranked = candidates;
    std::sort(ranked.begin(), ranked.end(), [&](const replica* a, const replica* b) {
        return common::rendezvous_rank(a->target, adapter) > common::rendezvous_rank(b->target, adapter);
    });
    const auto found = std::find_if(ranked.begin(), ranked.end(),
                                    [&](const replica* one) { return load_of(*one) <= bound; });
    return found == ranked.end() ? ranked.front() : *found;
}

} // namespace

double load_of(const replica& one) {
    return static_cast<double>(one.running + one.waiting + one.unreported) / std::max(1, one.limit);
}

const replica* choose(const std::vector<replica>& replicas, const replica_criteria& criteria) {
    std::vector<const replica*> candidates;
    for (const replica& one : replicas)
        if (usable(one, criteria))
            candidates.push_back(&one);
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
