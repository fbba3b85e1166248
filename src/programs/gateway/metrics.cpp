#include "programs/gateway/metrics.hpp"

namespace waxwinglb::programs::gateway {
namespace {

const prometheus::Histogram::BucketBoundaries second_buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                             0.5,   1,    2.5,   5,    10,  25};

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

double seconds(core::common::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

gateway_metrics::gateway_metrics(prometheus::Registry& registry)
    : waiting(gauge(registry, "waxwing_requests_waiting", "Requests that wait for a target")),
      running(gauge(registry, "waxwing_requests_running", "Requests at targets")),
      lease_held(gauge(registry, "waxwing_order_lease_held", "1 while this gateway gives orders to targets")),
      config_version(gauge(registry, "waxwing_config_version", "Version of the configuration in force")),
      connections_opened(gauge(registry, "waxwing_target_connections_opened",
                               "Connections opened to targets since the start")),
      connections_reused(gauge(registry, "waxwing_target_connections_reused",
                               "Requests sent on kept connections since the start")),
      peer_bytes(prometheus::BuildCounter()
                     .Name("waxwing_peer_bytes_total")
                     .Help("Bytes of the datagrams sent to other gateways")
                     .Register(registry)
                     .Add({})),
      requests_(prometheus::BuildCounter()
                    .Name("waxwing_requests_total")
                    .Help("Requests by kind of call, outcome and reason")
                    .Register(registry)),
      waits_(prometheus::BuildHistogram()
                 .Name("waxwing_request_wait_seconds")
                 .Help("Time from arrival until a request was sent to a target")
                 .Register(registry)),
      first_bytes_(prometheus::BuildHistogram()
                       .Name("waxwing_first_byte_seconds")
                       .Help("Time from arrival until the answer began")
                       .Register(registry)),
      store_calls_(prometheus::BuildCounter()
                       .Name("waxwing_store_calls_total")
                       .Help("Calls to the platform's store by call and result")
                       .Register(registry)),
      orders_(prometheus::BuildCounter()
                  .Name("waxwing_orders_total")
                  .Help("Orders to targets by operation and result")
                  .Register(registry)) {}

void gateway_metrics::count_request(const std::string& kind, const std::string& outcome,
                                    const std::string& reason) {
    requests_.Add({{"kind", kind}, {"outcome", outcome}, {"reason", reason}}).Increment();
}

void gateway_metrics::observe_wait(const std::string& kind, core::common::duration value) {
    waits_.Add({{"kind", kind}}, second_buckets).Observe(seconds(value));
}

void gateway_metrics::observe_first_byte(const std::string& kind, core::common::duration value) {
    first_bytes_.Add({{"kind", kind}}, second_buckets).Observe(seconds(value));
}

void gateway_metrics::count_store_call(const std::string& call, const std::string& result) {
    store_calls_.Add({{"call", call}, {"result", result}}).Increment();
}

void gateway_metrics::count_order(const std::string& operation, const std::string& result) {
    orders_.Add({{"operation", operation}, {"result", result}}).Increment();
}

} // namespace waxwinglb::programs::gateway
