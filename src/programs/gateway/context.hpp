/// State shared by the parts of one gateway. Used on the event loop's thread only.
#pragma once

#include "core/fleet/directory.hpp"
#include "core/limits/fleet_quota.hpp"
#include "edge/decision_log.hpp"
#include "edge/event_loop.hpp"
#include "programs/gateway/metrics.hpp"
#include "programs/gateway/settings.hpp"

#include <set>

namespace waxwinglb::programs::gateway {

struct gateway_context {
    gateway_context(const gateway_settings& settings_ref, edge::event_loop& loop_ref,
                    edge::decision_log& log_ref, prometheus::Registry& registry)
        : settings(settings_ref), loop(loop_ref), log(log_ref), metrics(registry, settings_ref.data_centre),
          quota(settings_ref.name) {}

    const gateway_settings& settings;
    edge::event_loop& loop;
    edge::decision_log& log;
    gateway_metrics metrics;
    core::fleet::config_ptr config; // null until the first configuration is read
    core::fleet::directory directory;
    std::set<std::string> centres_out; // data centres taken out of service
    std::int64_t centres_revision = 0; // store revision of centres_out
    core::limits::fleet_quota quota;
    int gateway_count = 1;           // registered gateways, this one included
    bool order_giver_active = false; // another gateway holds the lease, and its messages arrive
    bool draining = false;           // SIGTERM was received
    core::common::time_point drain_started{};
};

} // namespace waxwinglb::programs::gateway
