/// Chooses a target among a model's replicas: the less loaded of two random ones, or, for requests with an
/// adapter, rendezvous hashing with bounded loads.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::core::routing {

/// A replica as the router knows it.
struct replica {
    std::string target;
    std::string address; // the agent's "ip:port"
    std::string data_centre;
    bool ready = false;           // loaded and taking work
    bool draining = false;        // its agent refuses new work
    int running = 0;              // as last reported by the agent
    int waiting = 0;              // as last reported by the agent
    int unreported = 0;           // sent by this router since that report
    int limit = 1;                // requests that the target may run at once now
    std::int64_t boot = 0;        // of the agent process; a new value invalidates the report
    std::int64_t estimate_ms = 0; // expected wait until the target can run another request
    std::vector<std::string> adapters;
};

/// What one request needs of its replica.
struct replica_criteria {
    std::string adapter;                                          // empty: none
    std::string own_data_centre;                                  // mildly preferred
    const std::set<std::string>* excluded_data_centres = nullptr; // nullptr: none
    std::set<std::string> avoid;                                  // targets already tried by this request
    std::uint64_t random = 0;                                     // fresh random bits for each choice
};

/// (running + waiting + unreported) / limit; above 1 the target is full.
[[nodiscard]] double load_of(const replica& option);

/// The replica to send to, or nullptr if none may take work.
[[nodiscard]] const replica* choose(const std::vector<replica>& replicas, const replica_criteria& criteria);

} // namespace waxwinglb::core::routing
