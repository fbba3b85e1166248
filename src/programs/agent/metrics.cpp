#include "programs/agent/metrics.hpp"

namespace waxwinglb::programs::agent {
namespace {

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}
prometheus::Counter& counter(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

agent_metrics::agent_metrics(prometheus::Registry& registry)
    : running(gauge(registry, "waxwing_agent_running_requests", "Requests at the target")),
      waiting(gauge(registry, "waxwing_agent_waiting_requests", "Requests in the queue")),
      limit(gauge(registry, "waxwing_agent_concurrency_limit", "Requests that may run at once")),
      used_bytes(
          gauge(registry, "waxwing_agent_memory_used_bytes", "Accelerator memory that is or may be in use")),
      loaded_models(gauge(registry, "waxwing_agent_loaded_models", "Replicas that serve")),
      kept_bytes(gauge(registry, "waxwing_agent_kept_answer_bytes", "Bodies of kept answers")),
      finished(counter(registry, "waxwing_agent_finished_requests_total", "Requests answered")),
      refused(counter(registry, "waxwing_agent_refused_requests_total", "Requests refused")),
      loads(counter(registry, "waxwing_agent_loads_total", "Loads confirmed by the engine")),
      unloads(counter(registry, "waxwing_agent_unloads_total", "Unloads confirmed by the engine")),
      crashes(counter(registry, "waxwing_agent_target_crashes_total", "Crashes of the target seen")),
      resumes(counter(registry, "waxwing_agent_stream_resumes_total", "Streams resumed after silence")) {}

} // namespace waxwinglb::programs::agent
