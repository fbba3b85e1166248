/// What the parts of one gateway share. All of it belongs to the event loop's thread.
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
    gateway_context(const gateway_settings& from, edge::event_loop& on, edge::decision_log& to,
                    prometheus::Registry& registry)
        : settings(from), loop(on), log(to), numbers(registry, from.data_centre), quota(from.name) {}

    const gateway_settings& settings;
    edge::event_loop& loop;
    edge::decision_log& log;
    gateway_metrics numbers;
    core::fleet::config_ptr config; // null before the first one
    core::fleet::directory directory;
    std::set<std::string> centres_out; // data centres taken out
    std::int64_t centres_revision = 0; // of the store, when centres_out was read
    core::limits::fleet_quota quota;
    int members = 1;                 // registered gateways, this one included
    bool order_giver_speaks = false; // another gateway holds the lease and is heard
    bool ending = false;             // SIGTERM came
    core::common::time_point ending_since{};
};

} // namespace waxwinglb::programs::gateway
