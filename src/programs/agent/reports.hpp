/// Outgoing messages of the agent: target and crash reports to watchers, answers to routers.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

[[nodiscard]] wire::replica_load load_of(const agent_state& state);
/// Expected queueing time of one more request of this customer.
[[nodiscard]] core::common::milliseconds estimate_wait(const agent_state& state, const std::string& customer);

void handle_watch(agent_state& state, edge::link_id link);
void report_if_due(agent_state& state, time_point now); // to all watchers: on change, and at a fixed interval
void report_crash(agent_state& state, const std::vector<const active_request*>& in_flight, bool alone);

// Messages about one attempt, to one of its listeners.
void send_accepted(agent_state& state, const listener& to, const attempt_key& key);
void send_chunk(agent_state& state, const listener& to, const attempt_key& key, std::int64_t offset,
                std::string_view data);
void send_finished(agent_state& state, const listener& to, const attempt_key& key,
                   const core::answers::answer& kept);
void send_refused(agent_state& state, const listener& to, const attempt_key& key,
                  const core::answers::refusal& why);

} // namespace waxwinglb::programs::agent
