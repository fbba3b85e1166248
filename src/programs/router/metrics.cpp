#include "programs/router/metrics.hpp"

namespace waxwinglb::programs::router {
namespace {

double seconds(core::common::duration value) {
    return std::chrono::duration<double>(value).count();
}

prometheus::Histogram& add_histogram(prometheus::Registry& registry, const char* name, const char* help) {
    const prometheus::Histogram::BucketBoundaries bounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                                         0.5,   1,     2,     5,    10,   20,   50,  100};
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}
prometheus::Counter& add_counter(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}
prometheus::Gauge& add_gauge(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

router_metrics::router_metrics(prometheus::Registry& registry)
    : requests_(prometheus::BuildCounter()
                    .Name("waxwing_router_requests_total")
                    .Help("Requests ended, by service and outcome")
                    .Register(registry)),
      refusals_(prometheus::BuildCounter()
                    .Name("waxwing_router_refusals_total")
                    .Help("Requests refused, by reason and whether the customer was within its rate")
                    .Register(registry)),
      cold_start_(add_histogram(registry, "waxwing_router_cold_start_seconds",
                                "Time that requests waited for a replica of a cold model")),
      first_token_(add_histogram(registry, "waxwing_router_first_token_seconds",
                                 "Time from a request's arrival to the first byte of its answer")),
      retries_(add_counter(registry, "waxwing_router_retries_total", "Attempts after the first")),
      dropped_(add_counter(registry, "waxwing_router_dropped_messages_total",
                           "Answers of agents that belong to no open request or were malformed")),
      open_(add_gauge(registry, "waxwing_router_open_requests", "Requests not yet ended")),
      fresh_(add_gauge(registry, "waxwing_router_config_fresh", "1 while the configuration can be trusted")),
      revision_(add_gauge(registry, "waxwing_router_config_revision", "Revision in force here")) {}

void router_metrics::count_end(const std::string& service, const std::string& outcome) {
    requests_.Add({{"service", service}, {"outcome", outcome}}).Increment();
}
void router_metrics::count_refusal(const std::string& reason, bool within_rate) {
    refusals_.Add({{"reason", reason}, {"within_rate", within_rate ? "yes" : "no"}}).Increment();
}
void router_metrics::cold_start(core::common::duration waited) {
    cold_start_.Observe(seconds(waited));
}
void router_metrics::first_token(core::common::duration waited) {
    first_token_.Observe(seconds(waited));
}

} // namespace waxwinglb::programs::router
