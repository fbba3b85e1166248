#include "core/placement/replica_target.hpp"

#include <algorithm>
#include <map>

namespace waxwinglb::core::placement {
namespace {

// All weights are in seconds of expected waiting, so that they add up with load times.
constexpr double same_centre_cost = 10.0; // for each replica already there: a centre may be taken out
constexpr double load_cost = 2.0;         // of a target that runs at its limit
constexpr double fill_cost = 1.0;         // of a target whose memory is full
constexpr double room_cost = 20.0;        // of a data centre left without room for another's replicas
constexpr double room_wanted = 0.2;       // part of a data centre's memory that is kept free
constexpr double eviction_horizon = 60.0; // seconds over which the evicted model's uses are counted

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

double cost_of_losing(const resident& one) {
    return seconds(one.reload_time) * std::min(one.uses_per_second * eviction_horizon, 1.0);
}

struct eviction {
    std::vector<std::string> models;
    double cost = 0;
};

/// The idle models whose loss costs least for each byte, until there is room; nullopt if there can't be.
std::optional<eviction> plan_eviction(const target_view& target, std::int64_t bytes) {
    eviction out;
    std::int64_t missing = bytes - target.free_bytes;
    if (missing <= 0)
        return out;
    std::vector<const resident*> idle;
    for (const resident& one : target.residents)
        if (!one.busy && one.bytes > 0)
            idle.push_back(&one);
    std::sort(idle.begin(), idle.end(), [](const resident* a, const resident* b) {
        return cost_of_losing(*a) * static_cast<double>(b->bytes) <
               cost_of_losing(*b) * static_cast<double>(a->bytes);
    });
    for (const resident* one : idle) {
        out.models.push_back(one->model);
        out.cost += cost_of_losing(*one);
        missing -= one->bytes;
        if (missing <= 0)
            return out;
    }
    return std::nullopt;
}

struct memory_sum {
    double free = 0;
    double all = 0;
};

std::map<std::string, memory_sum> memory_by_centre(std::span<const target_view> targets) {
    std::map<std::string, memory_sum> out;
    for (const target_view& one : targets) {
        if (!one.usable())
            continue;
        memory_sum& sum = out[one.data_centre];
        sum.free += static_cast<double>(one.free_bytes);
        sum.all += static_cast<double>(one.memory_bytes);
    }
    return out;
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
    for (const target_view& one : targets) {
        if (!one.usable() || std::find(taken.begin(), taken.end(), one.target) != taken.end())
            continue;
        const auto evicted = plan_eviction(one, bytes);
        if (!evicted)
            continue;
        const auto same = std::count(taken_centres.begin(), taken_centres.end(), one.data_centre);
        const memory_sum& centre = memory.at(one.data_centre);
        const double free_after = fraction(centre.free - static_cast<double>(bytes), centre.all);
        const auto memory_bytes = static_cast<double>(one.memory_bytes);
        double cost = seconds(load_time(times, one.tier)) + evicted->cost;
        cost += same_centre_cost * static_cast<double>(same);
        cost += load_cost * fraction(one.running, one.limit);
        cost += fill_cost * (1 - fraction(static_cast<double>(one.free_bytes), memory_bytes));
        cost += room_cost * std::max(room_wanted - free_after, 0.0);
        if (best && cost >= best_cost)
            continue;
        best = replica_target{one.target, evicted->models, load_time(times, one.tier)};
        best_cost = cost;
    }
    return best;
}

} // namespace waxwinglb::core::placement
