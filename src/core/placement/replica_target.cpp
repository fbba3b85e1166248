#include "core/placement/replica_target.hpp"

#include <algorithm>
#include <map>

namespace waxwinglb::core::placement {
namespace {

// All costs are in seconds of expected waiting time, the same unit as load times.
constexpr double same_centre_cost =
    10.0;                         // for each replica already in the data centre, which may be taken out
constexpr double load_cost = 2.0; // for a target that runs at its admission limit
constexpr double fill_cost = 1.0; // for a target whose memory is full
constexpr double low_memory_cost =
    20.0; // times the free fraction missing: room for the replicas of a data centre taken out
constexpr double min_free_fraction = 0.2; // of a data centre's memory
constexpr double eviction_horizon =
    60.0; // seconds in which a use of the evicted model counts as a cold start

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

common::duration load_time(const load_times& times, weight_tier tier) {
    switch (tier) {
    case weight_tier::memory:
        return times.memory;
    case weight_tier::disk:
        return times.disk;
    case weight_tier::remote:
        break;
    }
    return times.remote;
}

double cost_of_losing(const resident& evicted) {
    return seconds(evicted.reload_time) * std::min(evicted.uses_per_second * eviction_horizon, 1.0);
}

struct eviction {
    std::vector<std::string> models;
    double cost = 0;
};

/// Selects idle models with the lowest cost per byte until `bytes` fit; nullopt if they can't be made to fit.
std::optional<eviction> plan_eviction(const target_view& target, std::int64_t bytes) {
    eviction plan;
    std::int64_t missing = bytes - target.free_bytes;
    if (missing <= 0)
        return plan;
    std::vector<const resident*> idle;
    for (const resident& candidate : target.residents)
        if (!candidate.busy && candidate.bytes > 0)
            idle.push_back(&candidate);
    std::sort(idle.begin(), idle.end(), [](const resident* a, const resident* b) {
        return cost_of_losing(*a) * static_cast<double>(b->bytes) <
               cost_of_losing(*b) * static_cast<double>(a->bytes);
    });
    for (const resident* candidate : idle) {
        plan.models.push_back(candidate->model);
        plan.cost += cost_of_losing(*candidate);
        missing -= candidate->bytes;
        if (missing <= 0)
            return plan;
    }
    return std::nullopt;
}

struct memory_sum {
    double free = 0;
    double all = 0;
};

std::map<std::string, memory_sum> memory_by_centre(std::span<const target_view> targets) {
    std::map<std::string, memory_sum> result;
    for (const target_view& view : targets) {
        if (!view.usable())
            continue;
        memory_sum& sum = result[view.data_centre];
        sum.free += static_cast<double>(view.free_bytes);
        sum.all += static_cast<double>(view.memory_bytes);
    }
    return result;
}

double fraction(double part, double whole) {
    return whole > 0 ? std::clamp(part / whole, 0.0, 1.0) : 0.0;
}

} // namespace

std::optional<replica_target> choose_replica_target(std::span<const target_view> targets, std::int64_t bytes,
                                                    const load_times& times,
                                                    std::span<const std::string> taken,
                                                    std::span<const std::string> taken_centres) {
    const auto memory = memory_by_centre(targets);
    std::optional<replica_target> best;
    double best_cost = 0;
    for (const target_view& view : targets) {
        if (!view.usable() || std::find(taken.begin(), taken.end(), view.target) != taken.end())
            continue;
        const auto evicted = plan_eviction(view, bytes);
        if (!evicted)
            continue;
        const auto same = std::count(taken_centres.begin(), taken_centres.end(), view.data_centre);
        const memory_sum& centre = memory.at(view.data_centre);
        const double free_after = fraction(centre.free - static_cast<double>(bytes), centre.all);
        const auto memory_bytes = static_cast<double>(view.memory_bytes);
        double cost = seconds(load_time(times, view.tier)) + evicted->cost;
        cost += same_centre_cost * static_cast<double>(same);
        cost += load_cost * fraction(view.running, view.limit);
        cost += fill_cost * (1 - fraction(static_cast<double>(view.free_bytes), memory_bytes));
        cost += low_memory_cost * std::max(min_free_fraction - free_after, 0.0);
        if (best && cost >= best_cost)
            continue;
        best = replica_target{view.target, evicted->models, load_time(times, view.tier)};
        best_cost = cost;
    }
    return best;
}

} // namespace waxwinglb::core::placement
