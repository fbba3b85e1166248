/// Replicates the configuration from stewards to the agent.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

void subscribe(agent_state& state, edge::link_id link); // called when a link to a steward has opened
void unsubscribe(agent_state& state, edge::link_id link);
void handle_config_update(agent_state& state, edge::link_id link, wire::config_update&& update);
void handle_config_fresh(agent_state& state, const wire::config_fresh& fresh, time_point now);

} // namespace waxwinglb::programs::agent
