/// The router's view of each model's replicas, asked from the holder of the replica set's shard.
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

/// What is known of one model's replicas, or of a plain service's targets (empty model).
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
    std::map<std::string, core::common::time_point> condemned; // fingerprints that crash targets, until when
    std::map<call_id, waiting_call> waiting;
    core::common::time_point asked{};
    core::common::time_point used{}; // by a request
    std::int64_t served_since = 0;   // requests since the last question
    bool news = false;               // `waiting` grew since the last question

    [[nodiscard]] bool valid(core::common::time_point now) const { return now < valid_until; }
    [[nodiscard]] core::common::duration estimate_left(core::common::time_point now) const;
};

class replica_views {
public:
    replica_views(edge::link_hub& links, steward_directory& stewards, const router_settings& settings);

    /// The view of a model, marked as used; asks for it where it is unknown or grows old.
    replica_set_view& use(const std::string& service, const std::string& model, core::common::time_point now);

    void wait(replica_set_view& view, call_id call, waiting_call what, core::common::time_point now);
    void stop_waiting(const std::string& service, const std::string& model, call_id call);

    /// Takes in an answer or push; returns the calls that waited for it.
    std::vector<call_id> updated(const wire::replica_view& pushed, core::common::time_point now);

    /// A target's load as its agent just told; `settled` requests of this router are part of it now.
    void report(const std::string& service, const std::string& model, const std::string& target,
                const wire::replica_load& load);
    void count_sent(const std::string& service, const std::string& model, const std::string& target,
                    int change);

    void tick(core::common::time_point now);

private:
    void ask(replica_set_view& view, core::common::time_point now);
    core::routing::replica* find(const std::string& service, const std::string& model,
                                 const std::string& target);

    edge::link_hub& links_;
    steward_directory& stewards_;
    const router_settings& settings_;
    std::map<std::string, replica_set_view> views_; // by "service/model"
};

} // namespace waxwinglb::programs::router
