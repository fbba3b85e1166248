/// Counters and histograms of one gateway; every label has a small, fixed set of values.
#pragma once

#include "core/common/time.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace waxwinglb::programs::gateway {

class gateway_metrics {
public:
    explicit gateway_metrics(prometheus::Registry& registry);

    /// `kind`: of call. `outcome`: answered, refused, failed, cut, abandoned. `reason`: a name from the code.
    void count_request(const std::string& kind, const std::string& outcome, const std::string& reason);
    void observe_wait(const std::string& kind, core::common::duration value);       // until it was sent
    void observe_first_byte(const std::string& kind, core::common::duration value); // from arrival
    void count_store_call(const std::string& call, const std::string& result);
    void count_order(const std::string& operation, const std::string& result);

    prometheus::Gauge& waiting;    // requests
    prometheus::Gauge& running;    // requests at targets
    prometheus::Gauge& lease_held; // 1: this gateway gives orders
    prometheus::Gauge& config_version;
    prometheus::Gauge& connections_opened; // to targets, since the start
    prometheus::Gauge& connections_reused;
    prometheus::Counter& peer_bytes; // of datagrams to other gateways

private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& waits_;
    prometheus::Family<prometheus::Histogram>& first_bytes_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Family<prometheus::Counter>& orders_;
};

} // namespace waxwinglb::programs::gateway
