/// What the agent tells: its load, the target's report to watchers, crashes, and answers on links.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

[[nodiscard]] wire::replica_load load_of(const state& all);
/// Expected wait of a further request of this customer before it starts.
[[nodiscard]] core::common::milliseconds estimate_wait(const state& all, const std::string& customer);

void take_watch(state& all, edge::link_id link);
void report_if_due(state& all, time_point now); // to all watchers: on change, and at a steady rate
void report_crash(state& all, const std::vector<const request*>& in_flight, bool alone);

// Messages about one attempt, to one of the links that its answer goes to.
void send_accepted(state& all, const listener& to, const attempt_key& key);
void send_chunk(state& all, const listener& to, const attempt_key& key, std::int64_t offset,
                std::string_view data);
void send_finished(state& all, const listener& to, const attempt_key& key, const core::answers::answer& kept);
void send_refused(state& all, const listener& to, const attempt_key& key, const core::answers::refusal& why);

} // namespace waxwinglb::programs::agent
