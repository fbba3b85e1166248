#include "programs/gateway/metrics.hpp"

namespace waxwinglb::programs::gateway {
namespace {

const prometheus::Histogram::BucketBoundaries second_buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                             0.5,   1,    2.5,   5,    10,  25};

/// Registers a metric family whose series are labelled with the gateway's data centre.
template<class builder_type>
auto& family(builder_type builder, prometheus::Registry& registry, const std::string& data_centre,
             const char* name, const char* help) {
    return builder.Name(name).Help(help).Labels({{"data_centre", data_centre}}).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gauges(prometheus::Registry& registry, const std::string& data_centre,
                                              const char* name, const char* help) {
    return family(prometheus::BuildGauge(), registry, data_centre, name, help);
}

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, const std::string& data_centre, const char* name, const char* help) {
    return family(prometheus::BuildCounter(), registry, data_centre, name, help);
}

prometheus::Family<prometheus::Histogram>& histograms(prometheus::Registry& registry,
                                                      const std::string& data_centre, const char* name,
                                                      const char* help) {
    return family(prometheus::BuildHistogram(), registry, data_centre, name, help);
}

double seconds(core::common::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

gateway_metrics::gateway_metrics(prometheus::Registry& registry, const std::string& data_centre)
    : waiting(gauges(registry, data_centre, "waxwing_requests_waiting", "Requests that wait for a target")
                  .Add({})),
      running(gauges(registry, data_centre, "waxwing_requests_running", "Requests at targets").Add({})),
      lease_held(gauges(registry, data_centre, "waxwing_order_lease_held",
                        "1 while this gateway gives orders to targets")
                     .Add({})),
      config_version(
          gauges(registry, data_centre, "waxwing_config_version", "Version of the configuration in force")
              .Add({})),
      store_era(gauges(registry, data_centre, "waxwing_store_era",
                       "Era of the platform's store, which rises when it is restored from an older copy")
                    .Add({})),
      connections_opened(gauges(registry, data_centre, "waxwing_target_connections_opened",
                                "Connections opened to targets since the start")
                             .Add({})),
      connections_reused(gauges(registry, data_centre, "waxwing_target_connections_reused",
                                "Requests sent on kept connections since the start")
                             .Add({})),
      gateways_heard(
          gauges(registry, data_centre, "waxwing_gateways_heard", "Other gateways in contact").Add({})),
      rate_part(gauges(registry, data_centre, "waxwing_rate_part",
                       "Part of each customer's rate that this gateway may use")
                    .Add({})),
      peer_bytes(counters(registry, data_centre, "waxwing_peer_bytes_total",
                          "Bytes of the datagrams sent to other gateways")
                     .Add({})),
      client_memory(gauges(registry, data_centre, "waxwing_client_memory_bytes",
                           "Memory charged for clients' connections, requests and unread answers")
                        .Add({})),
      client_connections(
          gauges(registry, data_centre, "waxwing_client_connections", "Connections of clients").Add({})),
      clients_waiting(gauges(registry, data_centre, "waxwing_clients_waiting",
                             "Connections of clients that wait for memory")
                          .Add({})),
      requests_(counters(registry, data_centre, "waxwing_requests_total",
                         "Requests by kind of call, service, outcome and reason")),
      waits_(histograms(registry, data_centre, "waxwing_request_wait_seconds",
                        "Time from arrival until a request was sent to a target")),
      first_bytes_(histograms(registry, data_centre, "waxwing_first_byte_seconds",
                              "Time from arrival until the answer began")),
      store_calls_(counters(registry, data_centre, "waxwing_store_calls_total",
                            "Calls to the platform's store by call and result")),
      orders_(counters(registry, data_centre, "waxwing_orders_total",
                       "Orders to targets by operation and result")),
      turns_(counters(registry, data_centre, "waxwing_reading_turns_total",
                      "Turns to send a prompt to a target, by what became of them")),
      grants_(counters(registry, data_centre, "waxwing_shared_grants_total",
                       "Turns granted by urgency to all gateways, by what became of them")),
      turns_waiting_(gauges(registry, data_centre, "waxwing_shared_turns_waiting",
                            "Gateways that wait for a turn of a target scheduled here, by priority")),
      finished_loads_(counters(registry, data_centre, "waxwing_finished_loads_total",
                               "Loads from the weight store that a report has shown to be over")),
      on_notice_(counters(registry, data_centre, "waxwing_requests_on_notice_total",
                          "Decisions on requests at targets that are removed at short notice")),
      scale_calls_(counters(registry, data_centre, "waxwing_scale_calls_total",
                            "Calls for a number of targets that were decided")),
      targets_needed_(gauges(registry, data_centre, "waxwing_targets_needed",
                             "Targets that demand needs, as the gateway that gives orders sees it")),
      duty_calls_(counters(registry, data_centre, "waxwing_duty_calls_total",
                           "Calls to the platform that one gateway at a time makes, by path and result")),
      usage_reports_(counters(registry, data_centre, "waxwing_usage_reports_total",
                              "Windows of usage by what became of their report")),
      watch_ages_(gauges(registry, data_centre, "waxwing_watch_age_seconds",
                         "Time since the store last answered the watch of a kind of object")),
      view_ages_(gauges(registry, data_centre, "waxwing_store_view_age_seconds",
                        "Age of what is known of the store, itself or by peers, by kind of change")),
      own_reads_(counters(registry, data_centre, "waxwing_store_view_old_total",
                          "Reads of the store because what peers told of it was too old, by kind of change")),
      ignored_loads_(counters(registry, data_centre, "waxwing_target_loads_ignored_total",
                              "Loads or momentary figures of targets that were not understood")),
      target_speeds_(gauges(registry, data_centre, "waxwing_target_speed",
                            "Lowest and highest lasting speed of a target; 1 is the usual one")),
      target_speeds_known_(gauges(registry, data_centre, "waxwing_target_speeds_known",
                                  "Targets whose lasting speed is learned")),
      limited_clients_(counters(registry, data_centre, "waxwing_clients_limited_total",
                                "Clients' connections that were paused, refused, closed or turned away")) {}

void gateway_metrics::count_request(const request_kind& kind, const std::string& outcome,
                                    const std::string& reason) {
    requests_.Add({{"kind", kind.call}, {"service", kind.service}, {"outcome", outcome}, {"reason", reason}})
        .Increment();
}

void gateway_metrics::observe_wait(const request_kind& kind, core::common::duration value) {
    waits_.Add({{"kind", kind.call}, {"service", kind.service}}, second_buckets).Observe(seconds(value));
}

void gateway_metrics::observe_first_byte(const request_kind& kind, core::common::duration value) {
    first_bytes_.Add({{"kind", kind.call}, {"service", kind.service}}, second_buckets)
        .Observe(seconds(value));
}

void gateway_metrics::count_store_call(const std::string& call, const std::string& result) {
    store_calls_.Add({{"call", call}, {"result", result}}).Increment();
}

void gateway_metrics::count_order(const std::string& operation, const std::string& result) {
    orders_.Add({{"operation", operation}, {"result", result}}).Increment();
}

void gateway_metrics::count_turn(const std::string& result) {
    turns_.Add({{"result", result}}).Increment();
}

void gateway_metrics::count_grants(const std::string& result, int count) {
    if (count > 0)
        grants_.Add({{"result", result}}).Increment(count);
}

void gateway_metrics::set_turns_waiting(std::span<const int> by_priority) {
    for (std::size_t priority = 0; priority < by_priority.size(); ++priority)
        turns_waiting_.Add({{"priority", std::to_string(priority)}}).Set(by_priority[priority]);
}

void gateway_metrics::count_finished_load(bool late) {
    finished_loads_.Add({{"result", late ? "late" : "in_time"}}).Increment();
}

void gateway_metrics::count_on_notice(const std::string& decision, const std::string& result) {
    on_notice_.Add({{"decision", decision}, {"result", result}}).Increment();
}

void gateway_metrics::count_scale_call(const std::string& service) {
    scale_calls_.Add({{"service", service}}).Increment();
}

void gateway_metrics::set_targets_needed(const std::string& service, int count) {
    targets_needed_.Add({{"service", service}}).Set(count);
}

void gateway_metrics::count_duty_call(const std::string& path, const std::string& result) {
    duty_calls_.Add({{"path", path}, {"result", result}}).Increment();
}

void gateway_metrics::count_usage_report(const std::string& result) {
    usage_reports_.Add({{"result", result}}).Increment();
}

void gateway_metrics::count_ignored_load() {
    ignored_loads_.Add({}).Increment();
}

void gateway_metrics::set_target_speeds(const core::target_speed::speeds::range& extent) {
    target_speeds_.Add({{"which", "lowest"}}).Set(extent.lowest);
    target_speeds_.Add({{"which", "highest"}}).Set(extent.highest);
    target_speeds_known_.Add({}).Set(extent.known);
}

void gateway_metrics::count_limited_client(const std::string& action, const std::string& reason) {
    limited_clients_.Add({{"action", action}, {"reason", reason}}).Increment();
}

void gateway_metrics::count_own_read(const std::string& kind) {
    own_reads_.Add({{"kind", kind}}).Increment();
}

void gateway_metrics::set_view_age(const std::string& kind, core::common::duration age) {
    view_ages_.Add({{"kind", kind}}).Set(seconds(age));
}

void gateway_metrics::set_watch_age(const std::string& kind, core::common::duration age) {
    watch_ages_.Add({{"kind", kind}}).Set(seconds(age));
}

} // namespace waxwinglb::programs::gateway
