#include "programs/agent/settings.hpp"

namespace waxwinglb::programs::agent {

void read_settings(edge::settings_section& top, agent_settings& out) {
    constexpr int most_concurrency = 10'000;
    constexpr int most_shards = 4'096;
    out.vm = top.text("vm");
    out.data_centre = top.text("data_centre");
    out.target = top.text("target");
    out.service = top.text("service");
    const std::string kind = top.text("kind");
    if (kind != "model" && kind != "plain")
        top.fault("kind", "expected model or plain");
    out.kind = kind == "plain" ? target_kind::plain : target_kind::model;
    out.listen = top.address("listen");
    out.operations = top.address("operations");
    out.engine = top.address("engine");
    out.platform = top.address("platform", "");
    out.stewards = top.addresses("stewards");
    out.control_shards = static_cast<int>(top.integer("control_shards", 1, most_shards, out.control_shards));
    out.memory = top.bytes("memory", 0);
    if (out.kind == target_kind::model && out.memory <= 0)
        top.fault("memory", "a model target needs a size above 0, such as 80GB");
    out.concurrency = static_cast<int>(top.integer("concurrency", 1, most_concurrency, out.concurrency));
    out.ramp_start = static_cast<int>(top.integer("ramp_start", 1, most_concurrency, out.ramp_start));
    if (out.ramp_start > out.concurrency)
        top.fault("ramp_start", "expected at most the value of concurrency");
    out.ramp_step_every = top.duration("ramp_step_every", out.ramp_step_every);
    out.order_timeout = top.duration("order_timeout", out.order_timeout);
    out.stall_timeout = top.duration("stall_timeout", out.stall_timeout);
    out.max_waiting = static_cast<int>(top.integer("max_waiting", 1, most_concurrency, out.max_waiting));
}

} // namespace waxwinglb::programs::agent
