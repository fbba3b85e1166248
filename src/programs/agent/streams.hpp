/// Responses from the target: body data, ends of calls, broken streams.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

void handle_call_data(agent_state& state, call_data&& data, time_point now);
void handle_call_ended(agent_state& state, call_ended&& ended, time_point now);
/// Called when a probe found the target up with the same boot: resumes or refuses the requests whose calls
/// broke off before that probe was sent.
void resolve_broken_calls(agent_state& state, std::uint64_t probe, time_point now);

} // namespace waxwinglb::programs::agent
