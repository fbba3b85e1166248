/// Metrics of one gateway. All series are labelled with its data centre. Each label has a small set of
/// values, fixed by the code or by the configuration (services).
#pragma once

#include "core/common/time.hpp"
#include "core/target_speed/speeds.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <span>
#include <string>

namespace waxwinglb::programs::gateway {

class gateway_metrics {
public:
    gateway_metrics(prometheus::Registry& registry, const std::string& data_centre);

    struct request_kind {
        std::string call; // kind of call of the route
        std::string service;
    };
    /// `outcome`: answered, refused, failed, cut or abandoned. `reason`: a fixed name from the code.
    void count_request(const request_kind& kind, const std::string& outcome, const std::string& reason);
    void observe_wait(const request_kind& kind, core::common::duration value);       // until sent
    void observe_first_byte(const request_kind& kind, core::common::duration value); // from arrival
    void count_store_call(const std::string& call, const std::string& result);
    void count_order(const std::string& operation, const std::string& result);
    void count_turn(const std::string& result);              // turns to send a prompt: given, missed, unused
    void count_grants(const std::string& result, int count); // on_time, late, lost, no_place
    void set_turns_waiting(std::span<const int> by_priority);
    void count_finished_load(bool late); // loads from the weight store
    void count_on_notice(const std::string& decision,
                         const std::string& result); // of requests at targets removed at short notice
    void count_scale_call(const std::string& service);
    void set_targets_needed(const std::string& service, int count);
    void count_duty_call(const std::string& path, const std::string& result); // each attempt
    void count_usage_report(const std::string& result);                       // windows: sent, late, given_up
    void count_ignored_load(); // a target's stated load or figure that was not understood
    void set_target_speeds(const core::target_speed::speeds::range& extent);
    void count_limited_client(const std::string& action,
                              const std::string& reason); // fixed names from the code
    void count_own_read(const std::string& kind);         // of the store, since what peers told was too old
    void set_view_age(const std::string& kind, core::common::duration age);  // of what is known of the store
    void set_watch_age(const std::string& kind, core::common::duration age); // since the last answer

    prometheus::Gauge& waiting;    // requests waiting for a target
    prometheus::Gauge& running;    // requests at targets
    prometheus::Gauge& lease_held; // 1: this gateway gives orders
    prometheus::Gauge& config_version;
    prometheus::Gauge& store_era;          // rises with each restore of the store
    prometheus::Gauge& connections_opened; // to targets, since the start
    prometheus::Gauge& connections_reused;
    prometheus::Gauge& gateways_heard; // other gateways in contact
    prometheus::Gauge& rate_part;      // share of each customer's rate that this gateway may use, 0 to 1
    prometheus::Counter& peer_bytes;   // of datagrams to other gateways
    prometheus::Gauge& client_memory;  // bytes charged for clients
    prometheus::Gauge& client_connections;
    prometheus::Gauge& clients_waiting; // connections that wait for room

private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& waits_;
    prometheus::Family<prometheus::Histogram>& first_bytes_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Family<prometheus::Counter>& orders_;
    prometheus::Family<prometheus::Counter>& turns_;
    prometheus::Family<prometheus::Counter>& grants_;
    prometheus::Family<prometheus::Gauge>& turns_waiting_;
    prometheus::Family<prometheus::Counter>& finished_loads_;
    prometheus::Family<prometheus::Counter>& on_notice_;
    prometheus::Family<prometheus::Counter>& scale_calls_;
    prometheus::Family<prometheus::Gauge>& targets_needed_;
    prometheus::Family<prometheus::Counter>& duty_calls_;
    prometheus::Family<prometheus::Counter>& usage_reports_;
    prometheus::Family<prometheus::Gauge>& watch_ages_;
    prometheus::Family<prometheus::Gauge>& view_ages_;
    prometheus::Family<prometheus::Counter>& own_reads_;
    prometheus::Family<prometheus::Counter>& ignored_loads_;
    prometheus::Family<prometheus::Gauge>& target_speeds_;
    prometheus::Family<prometheus::Gauge>& target_speeds_known_;
    prometheus::Family<prometheus::Counter>& limited_clients_;
};

} // namespace waxwinglb::programs::gateway
