/// State shared by the parts of one gateway. Used on the event loop's thread only.
#pragma once

#include "core/fleet/centres_out.hpp"
#include "core/fleet/directory.hpp"
#include "core/limits/fleet_quota.hpp"
#include "core/limits/target_limits.hpp"
#include "core/membership/catch_up.hpp"
#include "core/membership/store_view.hpp"
#include "core/streams/origins.hpp"
#include "core/streams/version_history.hpp"
#include "core/target_speed/speeds.hpp"
#include "edge/decision_log.hpp"
#include "edge/event_loop.hpp"
#include "programs/gateway/metrics.hpp"
#include "programs/gateway/settings.hpp"
#include "programs/gateway/store_history.hpp"

namespace waxwinglb::programs::gateway {

struct gateway_context {
    gateway_context(const gateway_settings& settings_ref, edge::event_loop& loop_ref,
                    edge::decision_log& log_ref, prometheus::Registry& registry)
        : settings(settings_ref), loop(loop_ref), log(log_ref), metrics(registry, settings_ref.data_centre),
          history(log_ref, metrics), quota(settings_ref.name) {}

    const gateway_settings& settings;
    edge::event_loop& loop;
    edge::decision_log& log;
    gateway_metrics metrics;
    store_history history;
    core::membership::catch_up start; // of this process, until it knows what running gateways know
    core::fleet::config_ptr config;   // null until the first configuration is read
    core::fleet::directory directory;
    core::fleet::centres_out centres;  // data centres taken out of service
    core::membership::store_view view; // how old what is known of the store is
    core::limits::fleet_quota quota;
    core::limits::target_limits target_limits;
    core::streams::origins origins;          // of callers' streams
    core::streams::version_history versions; // of targets
    core::target_speed::speeds speeds;       // of targets; empty unless dispatch.learn_speeds is set
    int gateway_count = 1;                   // registered gateways, this one included
    bool reads_store_closely = true;         // false: others do, and their messages arrive
    bool draining = false;                   // SIGTERM was received
    core::common::time_point drain_started{};
    /// Counts a customer's request that began to run; empty unless usage is to be reported.
    std::function<void(const std::string& customer, core::common::time_point began)> count_run;

    /// A target's lasting speed; 1 is the usual one.
    [[nodiscard]] double speed_of(const core::fleet::target& target) const {
        return settings.learn_speeds ? speeds.lasting(target.entry.id, target.entry.born) : 1;
    }
    /// Whether requests may be served by what this process knows.
    [[nodiscard]] bool informed() const { return config && start.done(loop.now()); }
};

} // namespace waxwinglb::programs::gateway
