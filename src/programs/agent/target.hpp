/// HTTP calls to the target: requests, orders, and looks at its state. Results come back as events.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

void start_call(state& all, request& one, time_point now);  // /generate, or the plain service's call
void resume_call(state& all, request& one, time_point now); // takes an engine's stream up again
void cancel_call(state& all, request& one);                 // gives a call up, tells an engine so

void send_load(state& all, const std::string& model, time_point now);
void send_unload(state& all, const std::string& model);
void send_adapter_load(state& all, const core::memory::adapter_key& key, std::int64_t bytes);
void send_adapter_unload(state& all, const core::memory::adapter_key& key);

void probe_target(state& all, time_point now); // at most one under way

/// The prompt of an OpenAI-style chat body; nullopt if the body is malformed.
[[nodiscard]] std::optional<std::string> prompt_of(const std::string& chat_body);

} // namespace waxwinglb::programs::agent
