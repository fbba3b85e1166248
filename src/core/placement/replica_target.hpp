/// Where to load a replica: load time by tier, cost of what must be evicted, spread over data centres, and
/// room kept for a data centre taken out.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace waxwinglb::core::placement {

/// Where a target would read a model's weights from.
enum class weight_tier { memory, disk, remote };

/// One model that a target holds now.
struct resident {
    std::string model; // "<service>/<name>"
    std::int64_t bytes = 0;
    bool busy = false;          // running, loading or unloading: can't be evicted
    double uses_per_second = 0; // expected, see idle_policy
    common::duration reload_time{};
};

/// What a steward knows of a target that can serve the model's service.
struct target_view {
    std::string target;
    std::string vm;
    std::string data_centre;
    std::int64_t boot = 0; // agent's; an order goes only to this process
    std::int64_t memory_bytes = 0;
    std::int64_t free_bytes = 0;
    int running = 0;         // requests, all models
    int limit = 1;           // admission limit now
    bool reachable = false;  // its agent's last report is recent
    bool draining = false;   // its agent takes no new work
    bool leaving = false;    // its VM is in state leaving
    bool vm_removed = false; // its VM left the platform's list longer ago than the list lags
    bool centre_out = false; // its data centre is taken out
    weight_tier tier = weight_tier::remote;
    std::vector<resident> residents;

    /// True if new work may go there.
    [[nodiscard]] bool usable() const {
        return reachable && !draining && !leaving && !vm_removed && !centre_out;
    }
};

/// Load times by tier for one model, with the queue of the weight store.
struct load_times {
    common::duration memory{};
    common::duration disk{};
    common::duration remote{}; // queue included
};

struct replica_target {
    std::string target;
    std::vector<std::string> evict; // models to unload first, cheapest first; empty if there is room
    common::duration load_time{};   // expected, evictions not counted
};

/// The best usable target for `bytes` that isn't among `taken`; nullopt if none has or can get the room.
/// `taken_centres` names the data centre of each replica already decided.
[[nodiscard]] std::optional<replica_target> choose_replica_target(std::span<const target_view> targets,
                                                                  std::int64_t bytes, const load_times& times,
                                                                  std::span<const std::string> taken,
                                                                  std::span<const std::string> taken_centres);

} // namespace waxwinglb::core::placement
