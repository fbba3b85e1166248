#include "programs/gateway/prompt_turns.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {

using core::common::duration;
using core::common::milliseconds;
using core::dispatch::turn_client;
using wire::message_kind;

namespace {

constexpr double ms_per_second = 1'000;

} // namespace

std::optional<double> prompt_turns::limit_of(const std::string& target) const {
    const auto* known = context_.directory.find(target);
    return known == nullptr ? std::nullopt : context_.target_limits.limit_of({target, known->entry.born});
}

bool prompt_turns::is_limited(const std::string& target) const {
    return limit_of(target).has_value();
}

/// Gateways that this one can't hear may have a scheduler of their own, so the limit is divided like the
/// customers' rates.
core::dispatch::turn_pace prompt_turns::pace_of(const std::string& target) const {
    core::dispatch::turn_pace out;
    out.tokens_per_ms = std::max(0.0, context_.settings.prompt_tokens_per_second / ms_per_second);
    if (const auto* known = context_.directory.find(target))
        out.tokens_per_ms *= context_.speed_of(*known); // a slow target reads as many prompts in more time
    if (const auto limit = limit_of(target))
        out.turns_per_second = *limit * context_.quota.available_part(context_.loop.now());
    return out;
}

// ---- requesting --------------------------------------------------------------------------------------

bool prompt_turns::may_send(const std::string& target, int tokens) {
    const bool limited = is_limited(target);
    if (context_.settings.prompt_tokens_per_second <= 0 && !limited)
        return true;
    target_turns& turns = targets_[target];
    const auto now = context_.loop.now();
    if (limited && turns.client.unanswered(now)) {
        turns.client.defer(now);
        schedule_check(turns);
    }
    if (turns.client.next(now) == turn_client::step::ask)
        ask(target, turns, tokens);
    if (turns.client.next(now) != turn_client::step::send)
        return false;
    context_.metrics.count_turn(turns.client.has_turn() ? "given" : "missed");
    if (!turns.client.has_turn())
        context_.log.write(edge::events::turn_missed, target,
                           {{"keeper", turns.asked_scheduler}, {"tokens", tokens}});
    return true;
}

void prompt_turns::ask(const std::string& target, target_turns& turns, int tokens) {
    const auto now = context_.loop.now();
    turns.asked_scheduler = core::dispatch::scheduler_of(target, callbacks_.gateways());
    const std::int64_t number = turns.client.ask(tokens, now);
    if (turns.asked_scheduler == self()) {
        turns.client.queued(number, turns.scheduler.ask({self(), number}, tokens, pace_of(target), now), now);
        if (const auto own = grant_next_turn(target, turns))
            turns.client.given(*own);
    } else {
        wire::turn_request request;
        request.process = self();
        request.target = target;
        request.number = number;
        request.tokens = tokens;
        callbacks_.send(turns.asked_scheduler,
                        edge::encode_frame(message_kind::turn_request, number, request));
    }
    if (!turns.client.has_turn())
        schedule_check(turns);
}

/// Checks again after the time by which the scheduler should have answered: its datagram may be lost.
void prompt_turns::schedule_check(const target_turns& turns) {
    context_.loop.schedule(turns.client.look_again(), [this] { callbacks_.on_turn(); });
}

void prompt_turns::record_sent(const std::string& target, int tokens) {
    if (const auto found = targets_.find(target); found != targets_.end())
        report_use(target, found->second, tokens);
}

/// Tells the scheduler how many tokens were sent in the turn, if not as many as requested.
void prompt_turns::report_use(const std::string& target, target_turns& turns, int tokens) {
    const auto number = turns.client.sent(tokens);
    if (!number)
        return;
    if (turns.asked_scheduler == self()) {
        turns.scheduler.sent({self(), *number}, tokens, pace_of(target));
        return;
    }
    wire::turn_use use;
    use.process = self();
    use.target = target;
    use.number = *number;
    use.tokens = tokens;
    callbacks_.send(turns.asked_scheduler, edge::encode_frame(message_kind::turn_use, *number, use));
}

std::optional<core::common::time_point> prompt_turns::queued_until(const std::string& target) const {
    const auto found = targets_.find(target);
    if (found == targets_.end() || !found->second.client.is_queued(context_.loop.now()))
        return std::nullopt;
    return found->second.client.look_again();
}

void prompt_turns::begin_turn(const std::string& target, std::int64_t number) {
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    found->second.client.given(number);
    callbacks_.on_turn();
    if (!found->second.client.has_turn())
        return;
    context_.metrics.count_turn("unused"); // the prompt went elsewhere, or its caller disconnected
    report_use(target, found->second, 0);
}

void prompt_turns::handle(const wire::turn_answer& answer) {
    const auto found = targets_.find(answer.target);
    if (found == targets_.end() || found->second.asked_scheduler != answer.process)
        return;
    if (answer.given)
        return begin_turn(answer.target, answer.number);
    found->second.client.queued(answer.number, milliseconds{answer.wait_ms}, context_.loop.now());
    schedule_check(found->second);
}

// ---- granting ----------------------------------------------------------------------------------------

void prompt_turns::handle(const wire::turn_request& request) {
    const duration wait = targets_[request.target].scheduler.ask(
        {request.process, request.number}, request.tokens, pace_of(request.target), context_.loop.now());
    if (wait > duration::zero()) {
        wire::turn_answer answer;
        answer.target = request.target;
        answer.number = request.number;
        answer.wait_ms = core::common::to_wire_ms(wait);
        send_answer(request.process, answer);
    }
    grant_due_turn(request.target);
}

void prompt_turns::handle(const wire::turn_use& use) {
    const auto found = targets_.find(use.target);
    if (found == targets_.end())
        return;
    found->second.scheduler.sent({use.process, use.number}, use.tokens, pace_of(use.target));
    grant_due_turn(use.target);
}

void prompt_turns::grant_due_turn(const std::string& target) {
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    if (is_limited(target) && core::dispatch::scheduler_of(target, callbacks_.gateways()) != self())
        return release_requests(target, found->second);
    if (const auto own = grant_next_turn(target, found->second))
        begin_turn(target, *own);
}

/// Two schedulers would grant the target's limit twice: who waits here is sent to the present one.
void prompt_turns::release_requests(const std::string& target, target_turns& turns) {
    for (const auto& waiting : turns.scheduler.release()) {
        if (waiting.gateway == self()) {
            turns.client.queued(waiting.number, duration::zero(), context_.loop.now());
            schedule_check(turns);
            continue;
        }
        wire::turn_answer answer;
        answer.target = target;
        answer.number = waiting.number;
        send_answer(waiting.gateway, answer);
    }
}

void prompt_turns::send_answer(const std::string& gateway, wire::turn_answer& answer) {
    answer.process = self();
    callbacks_.send(gateway, edge::encode_frame(message_kind::turn_answer, answer.number, answer));
}

/// Grants the turn that is due and schedules the next one. Returns the turn's number if it is this gateway's
/// own.
std::optional<std::int64_t> prompt_turns::grant_next_turn(const std::string& target, target_turns& turns) {
    const auto now = context_.loop.now();
    const auto pace = pace_of(target);
    const auto turn = turns.scheduler.next(pace, now);
    context_.loop.cancel(turns.timer);
    if (turns.scheduler.has_requests())
        turns.timer = context_.loop.schedule(turns.scheduler.due_at(pace, now),
                                             [this, target] { grant_due_turn(target); });
    if (!turn)
        return std::nullopt;
    if (turn->gateway == self())
        return turn->number;
    wire::turn_answer answer;
    answer.target = target;
    answer.number = turn->number;
    answer.given = true;
    send_answer(turn->gateway, answer);
    return std::nullopt;
}

void prompt_turns::remove_missing_targets() {
    std::erase_if(targets_,
                  [&](const auto& entry) { return context_.directory.find(entry.first) == nullptr; });
}

} // namespace waxwinglb::programs::gateway
