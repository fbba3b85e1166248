/// Validated settings of waxwing-gateway.
#pragma once

#include "core/exchange/groups.hpp"
#include "core/ingress/client_ledger.hpp"
#include "core/load_planning/planner.hpp"
#include "core/membership/store_view.hpp"
#include "core/retries/window_budget.hpp"
#include "edge/settings.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::gateway {

/// Calls to the platform that only one gateway at a time may make.
struct duty_settings {
    std::string address;                    // "ip:port" of the platform's duty calls; empty: no duties
    double calls_per_second = 1;            // of all gateways together
    bool usage_report = false;              // report requests by customer and window
    bool autoscale = false;                 // set the number of targets of services with `scaling`
    std::vector<std::string> unknown_kinds; // named in `kinds`, ignored
    core::common::milliseconds usage_window{5'000};
    core::common::milliseconds usage_late{10'000}; // after a window's end, its report is late
};

/// Limits for clients.
struct ingress_settings {
    /// Memory of a process without clients: measured 19 MB with a small fleet; the rest is for the fleet's
    /// state.
    static constexpr std::int64_t own_memory = 40'000'000;
    std::int64_t memory = 1'000'000'000;                // bytes of the VM
    int connections = 900;                              // of clients
    int page_connections = 32;                          // of the readiness page, and of the metrics page
    core::common::milliseconds progress_timeout{2'000}; // of a peer, while the memory for clients is short
    [[nodiscard]] core::ingress::ledger_limits clients() const {
        return {static_cast<std::size_t>(memory - own_memory), static_cast<std::size_t>(connections),
                progress_timeout};
    }
};

struct gateway_settings {
    std::string name; // of the VM that this gateway runs on
    std::string data_centre;
    std::string http;                             // "ip:port" for callers
    std::string readiness;                        // "ip:port" that the platform's load balancer polls
    std::string metrics;                          // "ip:port" of /metrics and of requests from peers
    std::string peers;                            // "ip:port" for datagrams from other gateways
    std::string store;                            // "ip:port" of the platform's metadata store
    core::common::milliseconds lease_term{3'000}; // least time between the orders of two successive holders
    core::common::milliseconds drain{8'000};      // time limit for open requests after SIGTERM
    int request_lines{500};                       // log lines a second of each request event
    int prompt_tokens_at_once{0};    // unread prompt tokens at one engine, from this gateway; 0: no limit
    int prompt_tokens_per_second{0}; // prompt tokens to one engine, from all gateways; 0: no limit
    bool learn_speeds{false};        // measure targets' speeds and choose, limit and place by them
    bool shared_room{false};         // capacity of targets is granted by urgency over all gateways
    double processor_share{
        0}; // of a core, of this VM; larger ones speak for their group of gateways; 0: unknown
    std::size_t single_group{core::exchange::max_single_group}; // gateways up to which each reports to each
    /// Times within which changes in the store must be in force: departures, configuration, data centres out.
    core::membership::view_limits view_limits{core::common::milliseconds{2'000},
                                              core::common::milliseconds{2'000},
                                              core::common::milliseconds{5'000}};
    ingress_settings ingress;
    core::retries::window_limits retries; // of all gateways together
    core::load_planning::planner_limits placing;
    duty_settings duties;
};

void read_settings(edge::settings_section& in, gateway_settings& out);

} // namespace waxwinglb::programs::gateway
