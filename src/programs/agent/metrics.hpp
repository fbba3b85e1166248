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
    prometheus::Gauge& loaded_models; // replicas that serve
    prometheus::Gauge& kept_bytes;    // bodies of kept answers
    prometheus::Counter& finished;    // requests answered
    prometheus::Counter& refused;     // requests refused, for whatever reason
    prometheus::Counter& loads;       // loads confirmed
    prometheus::Counter& unloads;     // unloads confirmed
    prometheus::Counter& crashes;     // crashes of the target seen
    prometheus::Counter& resumes;     // streams taken up again after silence
};

} // namespace waxwinglb::programs::agent
