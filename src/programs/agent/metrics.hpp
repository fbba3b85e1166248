/// Metrics of the agent.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace waxwinglb::programs::agent {

struct agent_metrics {
    explicit agent_metrics(prometheus::Registry& registry);

    prometheus::Gauge& running;       // requests at the target
    prometheus::Gauge& waiting;       // requests in the queue
    prometheus::Gauge& limit;         // requests that may run at once
    prometheus::Gauge& used_bytes;    // accelerator memory that is or may be in use
    prometheus::Gauge& loaded_models; // replicas in state loaded
    prometheus::Gauge& kept_bytes;    // total size of the bodies of kept answers
    prometheus::Counter& finished;    // requests whose answer is complete
    prometheus::Counter& refused;     // requests refused, for any reason
    prometheus::Counter& loads;       // loads confirmed
    prometheus::Counter& unloads;     // unloads confirmed
    prometheus::Counter& crashes;     // detected crashes of the target
    prometheus::Counter& resumes;     // streams resumed after a stall or a broken connection
};

} // namespace waxwinglb::programs::agent
