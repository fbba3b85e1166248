/// Requests from acceptance to end: admission, queueing, start, and whether a refused request ran.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

// Messages from routers.
void handle_run(agent_state& state, edge::link_id link, std::int64_t call, wire::run_request&& message,
                time_point now);
void handle_resume(agent_state& state, edge::link_id link, std::int64_t call,
                   const wire::resume_request& message);
void handle_cancel(agent_state& state, edge::link_id link, std::int64_t call,
                   const wire::cancel_request& message, time_point now);
void handle_ack(agent_state& state, const wire::ack_request& message);
void detach_link(agent_state& state, edge::link_id link); // its answers are kept for a resume

void start_waiting(agent_state& state, time_point now);   // up to the limit, in fair order
void expire_requests(agent_state& state, time_point now); // refuses requests whose deadline has passed
void retry_adapters(agent_state& state, time_point now);  // retries requests that wait for an adapter
void refuse_waiting_for_model(agent_state& state, const std::string& model, time_point now); // as not run
void handle_target_crash(agent_state& state, time_point now); // refuses running requests as suspects

/// Ends a request as refused; releases its slot at the target and its entries in the ledger.
void refuse(agent_state& state, active_request& request, const core::answers::refusal& why, time_point now);
/// Ends a request whose answer is complete.
void finish(agent_state& state, active_request& request, int status,
            const std::vector<edge::http_field>& headers, time_point now);

[[nodiscard]] core::answers::refusal make_refusal(wire::refusal::type reason, core::answers::run_status ran,
                                                  std::string detail,
                                                  core::common::milliseconds retry_after = {});

} // namespace waxwinglb::programs::agent
