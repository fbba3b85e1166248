/// Life cycle of one request at the router, from the grant of its tokens to its final answer.
///
/// A state machine without I/O: each function takes an event and the current time and returns the actions to
/// do next. These invariants hold however messages are lost, duplicated, delayed or reordered:
///   - exactly one `finish`, at or before the deadline (given a tick at next_wake());
///   - delivered bytes belong to the answer of one attempt, are in order and have no gaps;
///   - "not run" is reported only if no byte was sent to a target, or if the agent process that the request
///     was sent to reports it;
///   - a call that isn't repeatable is sent again only after its last attempt is proven not to have run.
#pragma once

#include "core/common/time.hpp"
#include "core/retries/token_bucket_budget.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace waxwinglb::core::routing {

enum class run_state { not_run, run, unknown };

/// Why a call ended. Each has a stable code for callers, see code_of().
enum class end_reason {
    completed,
    kept_answer,        // answer of an earlier call with the same Idempotency-Key
    rate_limited,       // the customer's rate is spent
    not_fresh,          // this router's configuration may be out of date
    store_unavailable,  // the control shard could not be reached for a decision
    no_replica,         // no target accepts requests now
    deadline_too_short, // by the estimate it can't be met
    deadline_passed,
    overloaded,
    target_unreachable, // no link could be opened
    target_lost,        // the link to the target broke and could not be restored
    target_failed,
    quarantined, // this request crashed targets
    key_withdrawn,
    caller_gone,
    still_running,   // an earlier call with the same key is still running
    outcome_unknown, // an earlier call with the same key ended without a known outcome
    answer_not_kept, // an earlier call with the same key ran; its answer is no longer kept
    body_mismatch,   // the same key came with another body
};
[[nodiscard]] const char* code_of(end_reason reason);

/// Reasons of an agent's refusal that matter to the router.
enum class refusal {
    overloaded,
    deadline_too_short,
    not_here,
    quarantined,
    unknown_request,
    isolation_busy,
    failed
};

struct answer_field {
    std::string name;
    std::string value;
};

struct ending {
    end_reason reason = end_reason::completed;
    run_state ran = run_state::not_run;
    common::milliseconds retry_after{0}; // 0: a retry makes no sense or no time is known
    int status = 0;                      // HTTP status of the target's answer; 0 if none
    std::vector<answer_field> headers;   // of the target's answer
    std::string body;                    // complete answer, unless it was streamed
    std::int64_t used_tokens = -1;       // -1: not known
};

// Actions for the owner of the call. Only the newest `place` or `claim` is valid.
struct place_action {
    std::set<std::string> avoid;     // targets already tried
    common::milliseconds pause{200}; // before one of them is tried again, if there is no other
};
struct claim_action {};   // store the claim with the chosen target
struct connect_action {}; // open a link to the chosen target; the answer is link_ready()
struct run_action {       // send the request; from now on the target may have received part of it
    int attempt = 1;      // rises with each run_action
    bool isolate = false; // the request is suspected of crashing targets
};
struct resume_action {
    std::string request_id; // of the earlier call while its answer is collected
    int attempt = 1;
    std::int64_t offset = 0;
};
struct cancel_action {
    int attempt = 1;
    std::int64_t agent_boot = 0; // agent process that the run was sent to
};
struct acknowledge_action {
    std::string request_id;
    int attempt = 1;
};
struct deliver_action {
    std::string bytes; // next part of a streamed answer
};
struct finish_action {
    ending end;
};
using action = std::variant<place_action, claim_action, connect_action, run_action, resume_action,
                            cancel_action, acknowledge_action, deliver_action, finish_action>;
using actions = std::vector<action>;

struct call_options {
    std::string request_id;
    bool repeatable = true; // idempotent
    bool claimed = false;   // not idempotent, with an Idempotency-Key: claimed in the store before it runs
    bool streamed = false;  // bytes are delivered as they arrive
    common::time_point deadline;
    retries::token_bucket_budget* retry_budget = nullptr; // must outlive the call
};

class call {
public:
    explicit call(call_options options) : options_(std::move(options)) {}

    [[nodiscard]] actions granted(common::time_point now);
    [[nodiscard]] actions placed(const std::string& target, common::time_point now);
    [[nodiscard]] actions wait_for_replica(common::duration estimate, common::time_point now);
    [[nodiscard]] actions claim_granted(common::time_point now);
    [[nodiscard]] actions collect(const std::string& request_id, int attempt, bool ran,
                                  common::time_point now);
    [[nodiscard]] actions link_ready(std::int64_t agent_boot, common::time_point now);
    [[nodiscard]] actions link_lost(common::time_point now);

    // Messages of agents; those of another request or attempt are ignored.
    [[nodiscard]] actions accepted(const std::string& request_id, int attempt, common::time_point now);
    [[nodiscard]] actions chunk(const std::string& request_id, int attempt, std::int64_t offset,
                                const std::string& data, common::time_point now);
    [[nodiscard]] actions finished(const std::string& request_id, int attempt, std::int64_t length,
                                   ending end, common::time_point now);
    [[nodiscard]] actions refused(const std::string& request_id, int attempt, refusal reason, run_state ran,
                                  bool suspect, common::milliseconds retry_after, common::time_point now);
    [[nodiscard]] actions cancelled(const std::string& request_id, int attempt, run_state ran,
                                    common::time_point now);

    [[nodiscard]] actions end(ending end, common::time_point now); // refused or answered without a run
    [[nodiscard]] actions abandon(end_reason reason, common::time_point now); // key withdrawn or caller gone
    [[nodiscard]] actions tick(common::time_point now);

    [[nodiscard]] common::time_point next_wake() const; // call tick() then
    [[nodiscard]] bool done() const { return phase_ == phase::done; }
    [[nodiscard]] bool waits_for_replica() const { return phase_ == phase::placing; }
    [[nodiscard]] bool waits_for_claim() const { return phase_ == phase::claiming; }
    [[nodiscard]] bool waits_for_grant() const { return phase_ == phase::granting; }
    [[nodiscard]] bool waits_for_link() const {
        return phase_ == phase::connecting || phase_ == phase::reconnecting;
    }
    [[nodiscard]] const std::string& target() const { return target_; }
    [[nodiscard]] const call_options& options() const { return options_; }
    [[nodiscard]] int attempt() const { return attempt_; }
    [[nodiscard]] bool collecting() const { return collecting_; }
    [[nodiscard]] bool isolated() const { return isolated_; }

private:
    enum class phase { granting, placing, claiming, connecting, running, reconnecting, cancelling, done };

    void enter(phase next, common::duration limit, common::time_point now);
    void finish(end_reason reason, run_state ran, common::milliseconds retry_after = {});
    void finish(ending end);
    void finish_completed(ending end);
    void reconnect(common::time_point now);
    void give_up_target(common::time_point now);
    void retry_or_finish(bool allowed, end_reason reason, run_state ran, common::milliseconds retry_after,
                         common::time_point now);
    void retry(run_state ran, common::milliseconds pause, common::time_point now);
    void begin_cancel(common::time_point now);
    void send_resume();
    void finish_collecting();
    [[nodiscard]] bool is_current(const std::string& request_id, int attempt) const;
    [[nodiscard]] bool retry_is_safe(run_state ran) const;
    [[nodiscard]] run_state trusted(run_state reported) const;
    [[nodiscard]] common::time_point cancel_at() const;
    [[nodiscard]] actions take_actions() { return std::exchange(actions_, {}); }

    call_options options_;
    phase phase_ = phase::granting;
    common::time_point phase_deadline_{}; // timeout of the current phase
    std::string target_;                  // chosen for this attempt
    std::set<std::string> avoid_;         // targets tried before
    std::string remote_id_;               // request id sent to the agent; the earlier call's while collecting
    int remote_attempt_ = 0;              // attempt sent to the agent; 0: none
    int attempt_ = 0;                     // attempts sent so far
    bool sent_ = false;                   // a byte of the current attempt may have been sent
    bool may_have_run_ = false;           // an earlier attempt is not proven "not run"
    bool link_up_ = false;                // to the current target
    bool collected_call_ran_ = false;     // the earlier call is known to have run
    bool collecting_ = false;             // an earlier call's answer is being collected
    bool isolated_ = false;               // runs alone because it is suspected of crashing targets
    bool cancel_time_passed_ = false;     // less than the cancel margin is left before the deadline
    bool cancel_sent_ = false;            // over the link that is up
    std::int64_t sent_boot_ = 0;          // agent process that the run was sent to
    std::int64_t link_boot_ = 0;          // agent process at the other end of the link now
    std::int64_t received_ = 0;           // bytes of the current attempt's answer
    std::string body_;                    // the same bytes, unless streamed
    actions actions_;
};

} // namespace waxwinglb::core::routing
