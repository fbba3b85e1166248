#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {
namespace {

core::admission::ramp_options make_ramp_options(const agent_settings& from) {
    core::admission::ramp_options options;
    options.full = from.concurrency;
    options.start = from.ramp_start;
    options.step_every = from.ramp_step_every;
    return options;
}

core::memory::ledger_options make_ledger_options(const agent_settings& from) {
    core::memory::ledger_options options;
    options.capacity = from.memory;
    options.order_timeout = from.order_timeout;
    return options;
}

} // namespace

agent_state::agent_state(const agent_settings& from, edge::program_context& context, edge::link_hub& links,
                         edge::http_client& client, edge::ring<event>& events, std::int64_t boot_number,
                         time_point now)
    : settings(from), program(context), hub(links), http(client), ring(events), boot(boot_number),
      log(edge::make_logger("agent." + from.target)), metrics(*context.metrics), answers({}, now),
      queue(static_cast<std::size_t>(from.max_waiting)), ramp(make_ramp_options(from)), quarantine({}),
      ledger(make_ledger_options(from)), next_probe(now), next_report(now) {}

bool agent_state::data_centre_out() const {
    const auto& known = config.state().data_centres;
    const auto found = known.find(settings.data_centre);
    return found != known.end() && found->second.state == core::config::data_centre_state::out;
}

} // namespace waxwinglb::programs::agent
