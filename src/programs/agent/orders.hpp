/// Orders to load and unload models, probes of the engine's state, and loading of adapters on demand.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

// Messages from stewards.
void handle_load_order(agent_state& state, edge::link_id link, std::int64_t call,
                       const wire::load_order& message, time_point now);
void handle_unload_order(agent_state& state, edge::link_id link, std::int64_t call,
                         const wire::unload_order& message, time_point now);

// Results from the target.
void handle_order_response(agent_state& state, const order_response& response, time_point now);
void handle_probe(agent_state& state, const probe_result& probe, time_point now);

void continue_orders(agent_state& state,
                     time_point now); // sends orders that may start now, answers those that have ended

/// Orders the load of an adapter unless it is under way; false if there is no memory for it.
bool request_adapter(agent_state& state, const core::memory::adapter_key& key, std::int64_t bytes,
                     time_point now);

} // namespace waxwinglb::programs::agent
