#include "core/routing/call.hpp"

#include <algorithm>

namespace waxwinglb::core::routing {
namespace {

using common::milliseconds;
using common::time_point;

constexpr milliseconds control_timeout{
    5'000}; // covers the takeover of a shard; what takes longer is given up
constexpr milliseconds connect_timeout{1'000};  // to an agent; then another target is tried
constexpr milliseconds progress_timeout{1'000}; // silence after which a running answer is asked for again
constexpr milliseconds lost_timeout{3'000};     // a target that can't be reached again for so long is lost
constexpr milliseconds cancel_margin{60};       // before the deadline: time to learn what became of a run
constexpr int max_attempts = 4;
constexpr milliseconds least_pause{200}; // before a target that refused is asked again

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
    out_.push_back(place_action{avoid_, least_pause});
    return take();
}

actions call::placed(const std::string& target, time_point now) {
    if (phase_ != phase::placing)
        return {};
    target_ = target;
    if (options_.claimed && attempt_ == 0 && avoid_.empty()) {
        enter(phase::claiming, control_timeout, now);
        out_.push_back(claim_action{});
        return take();
    }
    enter(phase::connecting, connect_timeout, now);
    out_.push_back(connect_action{});
    return take();
}

/// No replica is ready: waits only if the estimate says that the deadline can be met.
actions call::wait_for_replica(common::duration estimate, time_point now) {
    if (phase_ != phase::placing)
        return {};
    if (now + estimate >= cancel_at()) {
        const auto wait = std::chrono::ceil<milliseconds>(estimate);
        finish(end_reason::deadline_too_short, may_have_run_ ? run_state::unknown : run_state::not_run, wait);
        return take();
    }
    limit_ = cancel_at();
    return take();
}

actions call::claim_granted(time_point now) {
    if (phase_ != phase::claiming)
        return {};
    enter(phase::connecting, connect_timeout, now);
    out_.push_back(connect_action{});
    return take();
}

/// The claim belongs to an earlier call: its answer is collected from the agent named in the claim.
actions call::collect(const std::string& request_id, int attempt, bool ran, time_point now) {
    if (phase_ != phase::claiming)
        return {};
    collecting_ = true;
    collecting_done_ = ran;
    remote_id_ = request_id;
    remote_attempt_ = attempt;
    enter(phase::connecting, connect_timeout, now);
    out_.push_back(connect_action{});
    return take();
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
        out_.push_back(run_action{attempt_, isolated_});
    } else if (phase_ == phase::reconnecting) {
        phase_ = phase::running; // limit_ stays: only a message from the agent shows that it lives
        send_resume();
    } else if (phase_ == phase::cancelling) {
        out_.push_back(cancel_action{remote_attempt_, sent_boot_});
    }
    return take();
}

actions call::link_lost(time_point now) {
    link_up_ = false;
    if (phase_ == phase::running)
        reconnect(now);
    else if (phase_ == phase::cancelling)
        out_.push_back(connect_action{});
    return take();
}

actions call::accepted(const std::string& request_id, int attempt, time_point now) {
    if (concerns(request_id, attempt) && phase_ == phase::running)
        limit_ = now + progress_timeout;
    return take();
}

actions call::chunk(const std::string& request_id, int attempt, std::int64_t offset, const std::string& data,
                    time_point now) {
    if (!concerns(request_id, attempt))
        return {};
    const auto size = static_cast<std::int64_t>(data.size());
    if (offset < 0 || offset + size <= received_)
        return {}; // already delivered
    if (offset > received_) {
        // A piece is missing: asked for again, at the latest when the progress timeout ends.
        return {};
    }
    const std::string fresh = data.substr(static_cast<std::size_t>(received_ - offset));
    received_ += static_cast<std::int64_t>(fresh.size());
    if (phase_ == phase::running)
        limit_ = now + progress_timeout;
    if (options_.streamed)
        out_.push_back(deliver_action{fresh});
    else
        body_ += fresh;
    return take();
}

actions call::finished(const std::string& request_id, int attempt, std::int64_t length, ending end,
                       time_point now) {
    if (!concerns(request_id, attempt))
        return {};
    if (length == received_) {
        complete(std::move(end));
        return take();
    }
    if (phase_ == phase::running && link_up_ && length > received_) {
        limit_ = now + progress_timeout;
        send_resume();
    }
    return take();
}

actions call::refused(const std::string& request_id, int attempt, refusal why, run_state ran, bool suspect,
                      milliseconds retry_after, time_point now) {
    if (!concerns(request_id, attempt) || phase_ == phase::cancelling)
        return {};
    if (collecting_ && why != refusal::unknown_request && ran != run_state::not_run) {
        finish(end_reason::outcome_unknown, run_state::unknown); // that run has ended without an answer
        return take();
    }
    if (collecting_) {
        finish_collecting();
        return take();
    }
    if (why == refusal::unknown_request && !options_.repeatable) {
        begin_cancel(now); // a tombstone makes "not run" certain, or the answer is "unknown"
        return take();
    }
    // Without a tombstone the run may still be on its way to the agent.
    const run_state truth = why == refusal::unknown_request ? run_state::unknown : trusted(ran);
    if (why == refusal::quarantined) {
        finish(end_reason::quarantined, truth, retry_after);
        return take();
    }
    if (suspect && !isolated_ && retry_is_safe(truth)) {
        // One run alone shows who crashed the target. It is outside the budget, so that a crashing request
        // can't use up the retries of those that ran beside it.
        isolated_ = true;
        retry(truth, {}, now);
        return take();
    }
    if (suspect) {
        finish(end_reason::target_failed, truth, retry_after);
        return take();
    }
    end_reason reason = end_reason::target_failed;
    if (why == refusal::overloaded || why == refusal::isolation_busy)
        reason = end_reason::overloaded;
    else if (why == refusal::deadline_too_short)
        reason = end_reason::deadline_too_short;
    else if (why == refusal::not_here)
        reason = end_reason::no_replica;
    retry_or_finish(retry_is_safe(truth), reason, truth, retry_after, now);
    return take();
}

actions call::cancelled(const std::string& request_id, int attempt, run_state ran, time_point now) {
    if (!concerns(request_id, attempt) || phase_ != phase::cancelling)
        return {};
    const run_state truth = trusted(ran);
    if (past_cancel_)
        finish(end_reason::deadline_passed, truth);
    else
        retry_or_finish(retry_is_safe(truth), end_reason::target_lost, truth, {}, now);
    return take();
}

actions call::end(ending end, time_point now) {
    (void)now;
    if (phase_ == phase::done)
        return {};
    finish(std::move(end));
    return take();
}

actions call::abandon(end_reason why, time_point now) {
    (void)now;
    if (phase_ == phase::done)
        return {};
    const bool running = sent_ && !collecting_;
    if (running && link_up_)
        out_.push_back(cancel_action{remote_attempt_, sent_boot_});
    finish(why, running || may_have_run_ ? run_state::unknown : run_state::not_run);
    return take();
}

actions call::tick(time_point now) {
    if (phase_ == phase::done)
        return {};
    const run_state before = may_have_run_ ? run_state::unknown : run_state::not_run;
    if (now >= options_.deadline && collecting_) {
        finish_collecting();
        return take();
    }
    if (now >= options_.deadline) {
        finish(end_reason::deadline_passed, sent_ ? run_state::unknown : before);
        return take();
    }
    if (now >= cancel_at() && !past_cancel_) {
        past_cancel_ = true;
        if (collecting_)
            finish_collecting();
        else if (sent_)
            begin_cancel(now);
        else
            finish(end_reason::deadline_passed, before);
        return take();
    }
    if (now < limit_)
        return {};
    switch (phase_) {
    case phase::granting:
    case phase::claiming:
        finish(end_reason::store_unavailable, before, milliseconds{1'000});
        break;
    case phase::placing:
        finish(end_reason::no_replica, before, milliseconds{1'000});
        break;
    case phase::connecting:
        if (collecting_)
            finish_collecting();
        else
            retry_or_finish(true, end_reason::target_unreachable, before, milliseconds{1'000}, now);
        break;
    case phase::running:
        if (!link_up_) {
            reconnect(now);
        } else {
            limit_ = now + progress_timeout;
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
    return take();
}

time_point call::next_wake() const {
    if (phase_ == phase::done)
        return time_point::max();
    const time_point end = past_cancel_ ? options_.deadline : cancel_at();
    return std::min(end, limit_ == time_point{} ? end : limit_);
}

void call::enter(phase next, common::duration limit, time_point now) {
    phase_ = next;
    limit_ = now + limit;
}

void call::finish(end_reason why, run_state ran, milliseconds retry_after) {
    ending end;
    end.reason = why;
    end.ran = ran;
    end.retry_after = retry_after;
    finish(std::move(end));
}

void call::finish(ending end) {
    phase_ = phase::done;
    out_.push_back(finish_action{std::move(end)});
}

void call::complete(ending end) {
    end.reason = end_reason::completed;
    end.ran = run_state::run;
    end.body = std::move(body_);
    out_.push_back(acknowledge_action{remote_id_, remote_attempt_});
    finish(std::move(end));
}

void call::reconnect(time_point now) {
    enter(phase::reconnecting, lost_timeout, now);
    out_.push_back(connect_action{});
}

/// The target stayed out of reach after the run was sent: nobody can say whether it ran.
void call::give_up_target(time_point now) {
    if (collecting_)
        return finish_collecting();
    retry_or_finish(retry_is_safe(run_state::unknown), end_reason::target_lost, run_state::unknown, {}, now);
}

void call::retry_or_finish(bool allowed, end_reason why, run_state ran, milliseconds retry_after,
                           time_point now) {
    const bool budget = allowed && attempt_ < max_attempts && options_.retry_budget != nullptr &&
                        options_.retry_budget->take(now);
    if (budget)
        return retry(ran, retry_after, now);
    finish(why, ran == run_state::not_run && may_have_run_ ? run_state::unknown : ran, retry_after);
}

/// Goes back to placing for a new attempt; what comes of the old one changes nothing any more.
void call::retry(run_state ran, milliseconds pause, time_point now) {
    if (sent_ && link_up_ && ran != run_state::not_run)
        out_.push_back(
            cancel_action{remote_attempt_, sent_boot_}); // spares the target work that nobody waits for
    may_have_run_ = may_have_run_ || ran != run_state::not_run;
    avoid_.insert(target_);
    target_.clear();
    sent_ = false;
    link_up_ = false;
    remote_attempt_ = 0;
    received_ = 0;
    body_.clear();
    enter(phase::placing, control_timeout, now);
    out_.push_back(place_action{avoid_, std::max(pause, least_pause)});
}

void call::begin_cancel(time_point now) {
    enter(phase::cancelling, lost_timeout, now);
    if (link_up_)
        out_.push_back(cancel_action{remote_attempt_, sent_boot_});
    else
        out_.push_back(connect_action{});
}

/// The earlier call's answer can't be had now.
void call::finish_collecting() {
    if (collecting_done_)
        return finish(end_reason::answer_not_kept, run_state::run);
    finish(end_reason::still_running, run_state::unknown, milliseconds{1'000});
}

void call::send_resume() {
    out_.push_back(resume_action{remote_id_, remote_attempt_, received_});
}

bool call::concerns(const std::string& request_id, int attempt) const {
    const bool active =
        phase_ == phase::running || phase_ == phase::reconnecting || phase_ == phase::cancelling;
    return active && attempt == remote_attempt_ && request_id == remote_id_;
}

/// A call that isn't repeatable runs again only if it surely has not run; a streamed one only while the
/// caller has seen nothing of it. Without a claim, what isn't repeatable gets one attempt.
bool call::retry_is_safe(run_state ran) const {
    if (options_.streamed && received_ > 0)
        return false;
    return options_.repeatable || (options_.claimed && ran == run_state::not_run);
}

/// An agent process can vouch only for what was sent to itself, not to the one before its restart.
run_state call::trusted(run_state said) const {
    return link_boot_ == sent_boot_ ? said : run_state::unknown;
}

time_point call::cancel_at() const {
    return options_.deadline - cancel_margin;
}

} // namespace waxwinglb::core::routing
