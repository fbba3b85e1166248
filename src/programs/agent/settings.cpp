#include "programs/agent/settings.hpp"

namespace waxwinglb::programs::agent {

void read_settings(edge::settings_section& top, agent_settings& settings) {
    constexpr int max_concurrency = 10'000;
    constexpr int max_shards = 4'096;
    settings.vm = top.text("vm");
    settings.data_centre = top.text("data_centre");
    settings.target = top.text("target");
    settings.service = top.text("service");
    const std::string kind = top.text("kind");
    if (kind != "model" && kind != "plain")
        top.fault("kind", "expected model or plain");
    settings.kind = kind == "plain" ? target_kind::plain : target_kind::model;
    settings.listen = top.address("listen");
    settings.operations = top.address("operations");
    settings.engine = top.address("engine");
    settings.platform = top.address("platform", "");
    settings.stewards = top.addresses("stewards");
    settings.control_shards =
        static_cast<int>(top.integer("control_shards", 1, max_shards, settings.control_shards));
    settings.memory = top.bytes("memory", 0);
    if (settings.kind == target_kind::model && settings.memory <= 0)
        top.fault("memory", "a model target needs a size above 0, such as 80GB");
    settings.concurrency =
        static_cast<int>(top.integer("concurrency", 1, max_concurrency, settings.concurrency));
    settings.ramp_start =
        static_cast<int>(top.integer("ramp_start", 1, max_concurrency, settings.ramp_start));
    if (settings.ramp_start > settings.concurrency)
        top.fault("ramp_start", "expected at most the value of concurrency");
    settings.ramp_step_every = top.duration("ramp_step_every", settings.ramp_step_every);
    settings.order_timeout = top.duration("order_timeout", settings.order_timeout);
    settings.stall_timeout = top.duration("stall_timeout", settings.stall_timeout);
    settings.max_waiting =
        static_cast<int>(top.integer("max_waiting", 1, max_concurrency, settings.max_waiting));
}

} // namespace waxwinglb::programs::agent
