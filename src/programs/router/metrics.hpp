/// Metrics of the router; docs/OPERATIONS.md documents their names.
#pragma once

#include "core/common/time.hpp"
#include "core/routing/call.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace waxwinglb::programs::router {

class router_metrics {
public:
    explicit router_metrics(prometheus::Registry& registry);

    void count_end(const std::string& service, const std::string& outcome); // waxwing_router_requests_total
    void count_refusal(const std::string& reason, bool within_rate);        // waxwing_router_refusals_total
    void cold_start(core::common::duration waited);  // waxwing_router_cold_start_seconds
    void first_token(core::common::duration waited); // waxwing_router_first_token_seconds
    void count_retry() { retries_.Increment(); }     // waxwing_router_retries_total
    void count_dropped() { dropped_.Increment(); }   // waxwing_router_dropped_messages_total
    void open_requests(std::size_t count) {
        open_.Set(static_cast<double>(count));
    }                                                     // waxwing_router_open_requests
    void fresh(bool value) { fresh_.Set(value ? 1 : 0); } // waxwing_router_config_fresh
    void revision(std::int64_t number) {
        revision_.Set(static_cast<double>(number));
    } // waxwing_router_config_revision

private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Histogram& cold_start_;
    prometheus::Histogram& first_token_;
    prometheus::Counter& retries_;
    prometheus::Counter& dropped_;
    prometheus::Gauge& open_;
    prometheus::Gauge& fresh_;
    prometheus::Gauge& revision_;
};

} // namespace waxwinglb::programs::router
