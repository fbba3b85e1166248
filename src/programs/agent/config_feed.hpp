/// The agent's copy of the configuration, fed by stewards.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

void subscribe(state& all, edge::link_id link); // when a link to a steward has opened
void unsubscribe(state& all, edge::link_id link);
void take_update(state& all, edge::link_id link, wire::config_update&& update);
void take_fresh(state& all, const wire::config_fresh& fresh, time_point now);

} // namespace waxwinglb::programs::agent
