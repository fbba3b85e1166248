/// The router's view of each model's replicas, requested from the holder of the replica set's shard.
#pragma once

#include "core/routing/replica_choice.hpp"
#include "edge/program.hpp"
#include "programs/router/directory.hpp"
#include "programs/router/rates.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::programs::router {

/// One request that waits for a replica.
struct waiting_call {
    std::string customer;
    std::int64_t tokens = 0;
    core::common::time_point deadline;
};

/// State of one model's replicas, or of a plain service's targets (empty model).
struct replica_set_view {
    std::string service;
    std::string model;
    std::vector<core::routing::replica> replicas;
    std::int64_t fencing = 0;
    core::common::time_point received{};
    core::common::time_point valid_until{};
    core::common::milliseconds estimate{0}; // until a replica is ready, from `received`
    wire::refusal::type reason = wire::refusal::none;
    core::common::milliseconds retry_after{0};
    std::map<std::string, core::common::time_point> quarantined_until; // by fingerprint of a crashing request
    std::map<call_id, waiting_call> waiting;
    core::common::time_point requested_at{};
    core::common::time_point last_used{}; // by a request
    std::int64_t served_since = 0;        // requests since the last view request
    bool has_new_waiting = false;         // `waiting` grew since the last view request

    [[nodiscard]] bool valid(core::common::time_point now) const { return now < valid_until; }
    [[nodiscard]] core::common::duration estimate_left(core::common::time_point now) const;
};

class replica_views {
public:
    replica_views(edge::link_hub& links, steward_directory& stewards, const router_settings& settings);

    /// Returns the view of a model and marks it as used; requests it if it is unknown or expires soon.
    replica_set_view& use(const std::string& service, const std::string& model, core::common::time_point now);

    void add_waiting(replica_set_view& view, call_id call, waiting_call waiting,
                     core::common::time_point now);
    void stop_waiting(const std::string& service, const std::string& model, call_id call);

    /// Applies an answer or a push; returns the calls that wait for a replica.
    std::vector<call_id> apply_view(const wire::replica_view& pushed, core::common::time_point now);

    /// Applies the load that an agent reported for its target.
    void apply_load(const std::string& service, const std::string& model, const std::string& target,
                    const wire::replica_load& load);
    /// Adds `change` to the count of own requests that the load reports do not include yet.
    void adjust_unreported(const std::string& service, const std::string& model, const std::string& target,
                           int change);

    void tick(core::common::time_point now);

private:
    void request_view(replica_set_view& view, core::common::time_point now);
    core::routing::replica* find(const std::string& service, const std::string& model,
                                 const std::string& target);

    edge::link_hub& links_;
    steward_directory& stewards_;
    const router_settings& settings_;
    std::map<std::string, replica_set_view> views_; // by "service/model"
};

} // namespace waxwinglb::programs::router
