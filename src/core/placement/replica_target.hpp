/// Chooses the target for a new replica of a model, by load time, cost of evictions, spread over data
/// centres, and free memory kept for the replicas of a data centre that is taken out.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace waxwinglb::core::placement {

/// Where a target reads a model's weights from.
enum class weight_tier { memory, disk, remote };

/// One model that a target holds.
struct resident {
    std::string model; // "<service>/<name>"
    std::int64_t bytes = 0;
    bool busy = false;          // running, loading or unloading: can't be evicted
    double uses_per_second = 0; // expected, see idle_policy
    common::duration reload_time{};
};

/// What a steward knows of a target of the model's service.
struct target_view {
    std::string target;
    std::string vm;
    std::string data_centre;
    std::int64_t boot = 0; // of the agent: orders go only to this process
    std::int64_t memory_bytes = 0;
    std::int64_t free_bytes = 0;
    int running = 0;         // running requests, all models
    int limit = 1;           // current admission limit
    bool reachable = false;  // its agent has reported recently
    bool draining = false;   // its agent takes no new work
    bool leaving = false;    // its VM is in state leaving
    bool vm_removed = false; // its VM is missing from the platform's list for longer than the list can lag
    bool centre_out = false; // its data centre is taken out
    weight_tier tier = weight_tier::remote;
    std::vector<resident> residents;

    /// True if new work may be sent there.
    [[nodiscard]] bool usable() const {
        return reachable && !draining && !leaving && !vm_removed && !centre_out;
    }
};

/// Load times of one model by tier.
struct load_times {
    common::duration memory{};
    common::duration disk{};
    common::duration remote{}; // including the wait in the weight store's queue
};

struct replica_target {
    std::string target;
    std::vector<std::string> evict; // models to unload first, cheapest first; empty if there is room
    common::duration load_time{};   // expected, without evictions
};

/// The best usable target for a replica of `bytes` that isn't among `taken`; nullopt if none has enough
/// memory, even after evictions. `taken_centres` lists the data centre of each replica already decided.
[[nodiscard]] std::optional<replica_target> choose_replica_target(std::span<const target_view> targets,
                                                                  std::int64_t bytes, const load_times& times,
                                                                  std::span<const std::string> taken,
                                                                  std::span<const std::string> taken_centres);

} // namespace waxwinglb::core::placement
