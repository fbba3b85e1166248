/// Checked settings of waxwing-gateway.
#pragma once

#include "core/load_planning/planner.hpp"
#include "core/retries/window_budget.hpp"
#include "edge/settings.hpp"

#include <string>

namespace waxwinglb::programs::gateway {

struct gateway_settings {
    std::string name;                             // of this VM
    std::string data_centre;                      //
    std::string http;                             // "ip:port" for callers
    std::string readiness;                        // "ip:port" that the platform's balancer asks
    std::string metrics;                          // "ip:port" of /metrics and of peers' reads
    std::string peers;                            // "ip:port" for datagrams of other gateways
    std::string store;                            // "ip:port" of the platform's store
    core::common::milliseconds lease_term{3'000}; // orders of two holders are at least that far apart
    core::common::milliseconds drain{8'000};      // SIGTERM: requests may run for so long
    int request_lines{500};                       // a second of each kind of log line about requests
    int prompt_tokens_at_once{0};         // of prompts not yet read at one engine, sent from here; 0: any
    int prompt_tokens_per_second{0};      // of prompts to one engine, from all gateways; 0: any
    core::retries::window_limits retries; // of the whole fleet
    core::load_planning::planner_limits placing;
};

void read_settings(edge::settings_section& in, gateway_settings& out);

} // namespace waxwinglb::programs::gateway
