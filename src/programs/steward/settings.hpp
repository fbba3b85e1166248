/// Settings of waxwing-steward.
#pragma once

#include "core/common/time.hpp"
#include "edge/settings.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

struct steward_settings {
    std::string vm;                                // the VM that it runs on
    std::string data_centre;                       // where that VM stands
    std::string listen;                            // "ip:port" of its links
    std::string operations;                        // "ip:port" of health, metrics, time line, /in-force
    std::string platform;                          // "ip:port" of the platform's service
    std::vector<std::string> stewards;             // links of other stewards
    int control_shards = 16;                       // fleet-wide; all processes must agree
    int max_subscribers = 32;                      // of the configuration feed; more are sent elsewhere
    core::common::milliseconds lease_term{3'000};  // of a control shard
    core::common::milliseconds vm_list_lag{5'000}; // by which the platform's VM list may lag
    core::common::milliseconds claim_retention{24LL * 3600 * 1000}; // before old claims are deleted
};

/// Reads all members; faults are collected by `top`.
void read_settings(edge::settings_section& top, steward_settings& out);

} // namespace waxwinglb::programs::steward
