/// Settings of waxwing-steward.
#pragma once

#include "core/common/time.hpp"
#include "edge/settings.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

struct steward_settings {
    std::string vm;                    // VM that this steward runs on
    std::string data_centre;           // data centre of that VM
    std::string listen;                // "ip:port" for links
    std::string operations;            // "ip:port" for health, metrics, time line and /in-force
    std::string platform;              // "ip:port" of the platform's service
    std::vector<std::string> stewards; // "ip:port" of other stewards' links
    int control_shards = 16;           // fleet-wide; all processes must agree
    int max_subscribers = 32;          // of the configuration feed; others are referred to other stewards
    core::common::milliseconds lease_term{3'000};                   // of a control shard
    core::common::milliseconds vm_list_lag{5'000};                  // longest delay of the platform's VM list
    core::common::milliseconds claim_retention{24LL * 3600 * 1000}; // time before old claims are deleted
};

/// Reads all members; faults are collected by `top`.
void read_settings(edge::settings_section& top, steward_settings& out);

} // namespace waxwinglb::programs::steward
