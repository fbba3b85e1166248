/// HTTP calls to the target: requests, orders and probes. Results arrive as events.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

void start_call(agent_state& state, active_request& request,
                time_point now); // /generate, or the plain service's call
void resume_call(agent_state& state, active_request& request,
                 time_point now);                              // resumes an engine's stream
void cancel_call(agent_state& state, active_request& request); // drops the call; an engine also gets /cancel

void send_load(agent_state& state, const std::string& model, time_point now);
void send_unload(agent_state& state, const std::string& model);
void send_adapter_load(agent_state& state, const core::memory::adapter_key& key, std::int64_t bytes);
void send_adapter_unload(agent_state& state, const core::memory::adapter_key& key);

void probe_target(agent_state& state, time_point now); // when due; at most one at a time

/// The prompt of an OpenAI-style chat body; nullopt if the body is malformed.
[[nodiscard]] std::optional<std::string> prompt_of(const std::string& chat_body);

} // namespace waxwinglb::programs::agent
