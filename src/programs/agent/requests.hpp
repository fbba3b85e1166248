/// Requests from acceptance to end: admission, queue, start, and the truth about what ran.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

// Messages from routers.
void take_run(state& all, edge::link_id link, std::int64_t call, wire::run_request&& message, time_point now);
void take_resume(state& all, edge::link_id link, std::int64_t call, const wire::resume_request& message);
void take_cancel(state& all, edge::link_id link, std::int64_t call, const wire::cancel_request& message,
                 time_point now);
void take_ack(state& all, const wire::ack_request& message);
void forget_link(state& all, edge::link_id link); // answers wait for a resume

void start_waiting(state& all, time_point now);   // as many as the limit admits, in fair order
void expire_requests(state& all, time_point now); // refuses what is out of time
void retry_adapters(state& all, time_point now);  // requests whose adapter may be there by now
void refuse_model(state& all, const std::string& model, time_point now); // its waiting requests, as not run
void target_crashed(state& all, time_point now); // everything that ran is lost and suspect

/// Ends a request as refused. Its place at the target and in the ledger is given back.
void refuse(state& all, request& one, const core::answers::refusal& why, time_point now);
/// Ends a request whose answer is complete.
void finish(state& all, request& one, int status, const std::vector<edge::http_field>& headers,
            time_point now);

[[nodiscard]] core::answers::refusal make_refusal(wire::refusal::type reason, core::answers::run_status ran,
                                                  std::string detail,
                                                  core::common::milliseconds retry_after = {});

} // namespace waxwinglb::programs::agent
