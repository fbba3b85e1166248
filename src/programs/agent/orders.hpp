/// Orders to load and unload, the engine's state, and adapters on demand.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

// Messages from stewards.
void take_load_order(state& all, edge::link_id link, std::int64_t call, const wire::load_order& message,
                     time_point now);
void take_unload_order(state& all, edge::link_id link, std::int64_t call, const wire::unload_order& message,
                       time_point now);

// Results from the target.
void take_order_done(state& all, const order_done& done, time_point now);
void take_probe(state& all, const probe_done& probe, time_point now);

void continue_orders(state& all, time_point now); // starts what can start, answers what is settled

/// Sees to it that the adapter gets loaded; false if there is no room for it.
bool request_adapter(state& all, const core::memory::adapter_key& key, std::int64_t bytes, time_point now);

} // namespace waxwinglb::programs::agent
