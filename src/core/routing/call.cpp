#include "core/routing/call.hpp"

#include <algorithm>

namespace waxwinglb::core::routing {
namespace {

using common::milliseconds;
using common::time_point;

constexpr milliseconds control_timeout{5'000};  // for grants, placement and claims; covers a shard's takeover
constexpr milliseconds connect_timeout{1'000};  // to an agent; after it another target is tried
constexpr milliseconds progress_timeout{1'000}; // without a message; then the answer is requested again
constexpr milliseconds lost_timeout{3'000};     // without a link; then the target counts as lost
constexpr milliseconds cancel_margin{60};       // before the deadline: time to learn the outcome of a run
constexpr int max_attempts = 4;
constexpr milliseconds min_retry_pause{200}; // before a target is tried again

} // namespace

const char* code_of(end_reason reason) {
    switch (reason) {
    case end_reason::completed:
        return "completed";
    case end_reason::kept_answer:
        return "kept_answer";
    case end_reason::rate_limited:
        return "rate_limited";
    case end_reason::not_fresh:
        return "not_fresh";
    case end_reason::store_unavailable:
        return "store_unavailable";
    case end_reason::no_replica:
        return "no_replica";
    case end_reason::deadline_too_short:
        return "deadline_too_short";
    case end_reason::deadline_passed:
        return "deadline_passed";
    case end_reason::overloaded:
        return "overloaded";
    case end_reason::target_unreachable:
        return "target_unreachable";
    case end_reason::target_lost:
        return "target_lost";
    case end_reason::target_failed:
        return "target_failed";
    case end_reason::quarantined:
        return "quarantined";
    case end_reason::key_withdrawn:
        return "key_withdrawn";
    case end_reason::caller_gone:
        return "caller_gone";
    case end_reason::still_running:
        return "still_running";
    case end_reason::outcome_unknown:
        return "outcome_unknown";
    case end_reason::answer_not_kept:
        return "answer_not_kept";
    case end_reason::body_mismatch:
        return "body_mismatch";
    }
    return "unknown";
}

actions call::granted(time_point now) {
    if (phase_ != phase::granting)
        return {};
    enter(phase::placing, control_timeout, now);
    actions_.push_back(place_action{avoid_, min_retry_pause});
    return take_actions();
}

actions call::placed(const std::string& target, time_point now) {
    if (phase_ != phase::placing)
        return {};
    target_ = target;
    if (options_.claimed && attempt_ == 0 && avoid_.empty()) {
        enter(phase::claiming, control_timeout, now);
        actions_.push_back(claim_action{});
        return take_actions();
    }
    enter(phase::connecting, connect_timeout, now);
    actions_.push_back(connect_action{});
    return take_actions();
}

/// No replica is ready: the call waits only if the deadline can be met by the estimate.
actions call::wait_for_replica(common::duration estimate, time_point now) {
    if (phase_ != phase::placing)
        return {};
    if (now + estimate >= cancel_at()) {
        const auto wait = std::chrono::ceil<milliseconds>(estimate);
        finish(end_reason::deadline_too_short, may_have_run_ ? run_state::unknown : run_state::not_run, wait);
        return take_actions();
    }
    phase_deadline_ = cancel_at();
    return take_actions();
}

actions call::claim_granted(time_point now) {
    if (phase_ != phase::claiming)
        return {};
    enter(phase::connecting, connect_timeout, now);
    actions_.push_back(connect_action{});
    return take_actions();
}

/// The key is claimed by an earlier call: its answer is collected from the agent named in the claim.
actions call::collect(const std::string& request_id, int attempt, bool ran, time_point now) {
    if (phase_ != phase::claiming)
        return {};
    collecting_ = true;
    collected_call_ran_ = ran;
    remote_id_ = request_id;
    remote_attempt_ = attempt;
    enter(phase::connecting, connect_timeout, now);
    actions_.push_back(connect_action{});
    return take_actions();
}

actions call::link_ready(std::int64_t agent_boot, time_point now) {
    link_up_ = true;
    link_boot_ = agent_boot;
    if (phase_ == phase::connecting && collecting_) {
        enter(phase::running, progress_timeout, now);
        send_resume();
    } else if (phase_ == phase::connecting) {
        sent_ = true;
        sent_boot_ = agent_boot;
        remote_id_ = options_.request_id;
        remote_attempt_ = ++attempt_;
        enter(phase::running, progress_timeout, now);
        actions_.push_back(run_action{attempt_, isolated_});
    } else if (phase_ == phase::reconnecting) {
        phase_ = phase::running; // the timeout is not extended: only a message shows that the agent is alive
        send_resume();
    } else if (phase_ == phase::cancelling) {
        actions_.push_back(cancel_action{remote_attempt_, sent_boot_});
    }
    return take_actions();
}

actions call::link_lost(time_point now) {
    link_up_ = false;
    if (phase_ == phase::running)
        reconnect(now);
    else if (phase_ == phase::cancelling)
        actions_.push_back(connect_action{});
    return take_actions();
}

actions call::accepted(const std::string& request_id, int attempt, time_point now) {
    if (is_current(request_id, attempt) && phase_ == phase::running)
        phase_deadline_ = now + progress_timeout;
    return take_actions();
}

actions call::chunk(const std::string& request_id, int attempt, std::int64_t offset, const std::string& data,
                    time_point now) {
    if (!is_current(request_id, attempt))
        return {};
    const auto size = static_cast<std::int64_t>(data.size());
    if (offset < 0 || offset + size <= received_)
        return {}; // already delivered
    if (offset > received_) {
        // Bytes before this chunk are missing: they are requested again at the latest by the progress
        // timeout.
        return {};
    }
    const std::string new_bytes = data.substr(static_cast<std::size_t>(received_ - offset));
    received_ += static_cast<std::int64_t>(new_bytes.size());
    if (phase_ == phase::running)
        phase_deadline_ = now + progress_timeout;
    if (options_.streamed)
        actions_.push_back(deliver_action{new_bytes});
    else
        body_ += new_bytes;
    return take_actions();
}

actions call::finished(const std::string& request_id, int attempt, std::int64_t length, ending end,
                       time_point now) {
    if (!is_current(request_id, attempt))
        return {};
    if (length == received_) {
        finish_completed(std::move(end));
        return take_actions();
    }
    if (phase_ == phase::running && link_up_ && length > received_) {
        phase_deadline_ = now + progress_timeout;
        send_resume();
    }
    return take_actions();
}

actions call::refused(const std::string& request_id, int attempt, refusal reason, run_state ran, bool suspect,
                      milliseconds retry_after, time_point now) {
    if (!is_current(request_id, attempt) || phase_ == phase::cancelling)
        return {};
    if (collecting_ && reason != refusal::unknown_request && ran != run_state::not_run) {
        finish(end_reason::outcome_unknown, run_state::unknown); // the earlier run ended without an answer
        return take_actions();
    }
    if (collecting_) {
        finish_collecting();
        return take_actions();
    }
    if (reason == refusal::unknown_request && !options_.repeatable) {
        begin_cancel(now); // once the agent has a tombstone, "not run" is certain; else "unknown"
        return take_actions();
    }
    // Without a tombstone the run message may still reach the agent.
    const run_state proven = reason == refusal::unknown_request ? run_state::unknown : trusted(ran);
    if (reason == refusal::quarantined) {
        finish(end_reason::quarantined, proven, retry_after);
        return take_actions();
    }
    if (suspect && !isolated_ && retry_is_safe(proven)) {
        // A run alone shows whether this request crashed the target. It is not counted in the retry budget,
        // so that a crashing request can't use up the retries of the requests that ran beside it.
        isolated_ = true;
        retry(proven, {}, now);
        return take_actions();
    }
    if (suspect) {
        finish(end_reason::target_failed, proven, retry_after);
        return take_actions();
    }
    end_reason ending_reason = end_reason::target_failed;
    if (reason == refusal::overloaded || reason == refusal::isolation_busy)
        ending_reason = end_reason::overloaded;
    else if (reason == refusal::deadline_too_short)
        ending_reason = end_reason::deadline_too_short;
    else if (reason == refusal::not_here)
        ending_reason = end_reason::no_replica;
    retry_or_finish(retry_is_safe(proven), ending_reason, proven, retry_after, now);
    return take_actions();
}

actions call::cancelled(const std::string& request_id, int attempt, run_state ran, time_point now) {
    if (!is_current(request_id, attempt) || phase_ != phase::cancelling)
        return {};
    const run_state proven = trusted(ran);
    if (cancel_time_passed_)
        finish(end_reason::deadline_passed, proven);
    else
        retry_or_finish(retry_is_safe(proven), end_reason::target_lost, proven, {}, now);
    return take_actions();
}

actions call::end(ending end, time_point now) {
    (void)now;
    if (phase_ == phase::done)
        return {};
    finish(std::move(end));
    return take_actions();
}

actions call::abandon(end_reason reason, time_point now) {
    (void)now;
    if (phase_ == phase::done)
        return {};
    const bool running = sent_ && !collecting_;
    if (running && link_up_)
        actions_.push_back(cancel_action{remote_attempt_, sent_boot_});
    finish(reason, running || may_have_run_ ? run_state::unknown : run_state::not_run);
    return take_actions();
}

actions call::tick(time_point now) {
    if (phase_ == phase::done)
        return {};
    const run_state earlier_attempts = may_have_run_ ? run_state::unknown : run_state::not_run;
    if (now >= options_.deadline && collecting_) {
        finish_collecting();
        return take_actions();
    }
    if (now >= options_.deadline) {
        finish(end_reason::deadline_passed, sent_ ? run_state::unknown : earlier_attempts);
        return take_actions();
    }
    if (now >= cancel_at() && !cancel_time_passed_) {
        cancel_time_passed_ = true;
        if (collecting_)
            finish_collecting();
        else if (sent_)
            begin_cancel(now);
        else
            finish(end_reason::deadline_passed, earlier_attempts);
        return take_actions();
    }
    if (now < phase_deadline_)
        return {};
    switch (phase_) {
    case phase::granting:
    case phase::claiming:
        finish(end_reason::store_unavailable, earlier_attempts, milliseconds{1'000});
        break;
    case phase::placing:
        finish(end_reason::no_replica, earlier_attempts, milliseconds{1'000});
        break;
    case phase::connecting:
        if (collecting_)
            finish_collecting();
        else
            retry_or_finish(true, end_reason::target_unreachable, earlier_attempts, milliseconds{1'000}, now);
        break;
    case phase::running:
        if (!link_up_) {
            reconnect(now);
        } else {
            phase_deadline_ = now + progress_timeout;
            send_resume();
        }
        break;
    case phase::reconnecting:
        give_up_target(now);
        break;
    case phase::cancelling:
        finish(end_reason::target_lost, run_state::unknown);
        break;
    case phase::done:
        break;
    }
    return take_actions();
}

time_point call::next_wake() const {
    if (phase_ == phase::done)
        return time_point::max();
    const time_point end = cancel_time_passed_ ? options_.deadline : cancel_at();
    return std::min(end, phase_deadline_ == time_point{} ? end : phase_deadline_);
}

void call::enter(phase next, common::duration limit, time_point now) {
    phase_ = next;
    phase_deadline_ = now + limit;
}

void call::finish(end_reason reason, run_state ran, milliseconds retry_after) {
    ending end;
    end.reason = reason;
    end.ran = ran;
    end.retry_after = retry_after;
    finish(std::move(end));
}

void call::finish(ending end) {
    phase_ = phase::done;
    actions_.push_back(finish_action{std::move(end)});
}

void call::finish_completed(ending end) {
    end.reason = end_reason::completed;
    end.ran = run_state::run;
    end.body = std::move(body_);
    actions_.push_back(acknowledge_action{remote_id_, remote_attempt_});
    finish(std::move(end));
}

void call::reconnect(time_point now) {
    enter(phase::reconnecting, lost_timeout, now);
    actions_.push_back(connect_action{});
}

/// The target stayed unreachable after the run was sent: whether it ran is unknown.
void call::give_up_target(time_point now) {
    if (collecting_)
        return finish_collecting();
    retry_or_finish(retry_is_safe(run_state::unknown), end_reason::target_lost, run_state::unknown, {}, now);
}

void call::retry_or_finish(bool allowed, end_reason reason, run_state ran, milliseconds retry_after,
                           time_point now) {
    const bool budget = allowed && attempt_ < max_attempts && options_.retry_budget != nullptr &&
                        options_.retry_budget->take(now);
    if (budget)
        return retry(ran, retry_after, now);
    finish(reason, ran == run_state::not_run && may_have_run_ ? run_state::unknown : ran, retry_after);
}

/// Returns to placing for a new attempt; messages of the old attempt are ignored from now on.
void call::retry(run_state ran, milliseconds pause, time_point now) {
    if (sent_ && link_up_ && ran != run_state::not_run)
        actions_.push_back(cancel_action{remote_attempt_, sent_boot_}); // its result would be discarded
    may_have_run_ = may_have_run_ || ran != run_state::not_run;
    avoid_.insert(target_);
    target_.clear();
    sent_ = false;
    link_up_ = false;
    remote_attempt_ = 0;
    received_ = 0;
    body_.clear();
    enter(phase::placing, control_timeout, now);
    actions_.push_back(place_action{avoid_, std::max(pause, min_retry_pause)});
}

void call::begin_cancel(time_point now) {
    enter(phase::cancelling, lost_timeout, now);
    if (link_up_)
        actions_.push_back(cancel_action{remote_attempt_, sent_boot_});
    else
        actions_.push_back(connect_action{});
}

/// The earlier call's answer is not available now.
void call::finish_collecting() {
    if (collected_call_ran_)
        return finish(end_reason::answer_not_kept, run_state::run);
    finish(end_reason::still_running, run_state::unknown, milliseconds{1'000});
}

void call::send_resume() {
    actions_.push_back(resume_action{remote_id_, remote_attempt_, received_});
}

bool call::is_current(const std::string& request_id, int attempt) const {
    const bool active =
        phase_ == phase::running || phase_ == phase::reconnecting || phase_ == phase::cancelling;
    return active && attempt == remote_attempt_ && request_id == remote_id_;
}

/// A claimed call is sent again only if it is proven not to have run; a streamed one only while the caller
/// has received no byte of it. A call that is neither repeatable nor claimed gets one attempt.
bool call::retry_is_safe(run_state ran) const {
    if (options_.streamed && received_ > 0)
        return false;
    return options_.repeatable || (options_.claimed && ran == run_state::not_run);
}

/// A report is valid only from the agent process that the run was sent to; after a restart it is unknown.
run_state call::trusted(run_state reported) const {
    return link_boot_ == sent_boot_ ? reported : run_state::unknown;
}

time_point call::cancel_at() const {
    return options_.deadline - cancel_margin;
}

} // namespace waxwinglb::core::routing
