#include "programs/gateway/prompt_turns.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {

using core::common::duration;
using core::common::milliseconds;
using core::dispatch::turn_client;
using wire::message_kind;

namespace {

constexpr double ms_per_second = 1'000;
constexpr milliseconds urgent_replace_interval{5}; // between two requests for a turn at a target
constexpr milliseconds replace_interval{10};       // likewise, if only the customer or the load differs
constexpr milliseconds stand_still{500};           // a tick that is so late: turns on the way are too old
constexpr milliseconds full_log_interval{1'000};   // for each target
constexpr std::int64_t max_slack_ms = 3'600'000;   // stated by a peer; beyond it the value is ignored
constexpr std::int64_t max_total_tokens = 100'000'000;
constexpr std::int32_t max_running = 100'000;
constexpr std::size_t max_customer_name = 256; // bytes
constexpr milliseconds report_memory{60'000};  // of gateways that have left

/// to_wire_ms of a time that may have passed.
std::int64_t signed_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

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
    if (shares_capacity()) {
        const target_room room = callbacks_.room(target);
        out.shared = true;
        out.places = room.limit;
        out.load = room.load;
    }
    return out;
}

bool prompt_turns::is_full(const std::string& target) const {
    const target_room room = callbacks_.room(target);
    return room.load >= room.limit;
}

// ---- requesting --------------------------------------------------------------------------------------

bool prompt_turns::may_send(const std::string& target, const turn_wish& wish) {
    const bool limited = is_limited(target);
    if (context_.settings.prompt_tokens_per_second <= 0 && !limited && !shares_capacity())
        return true;
    target_turns& turns = targets_[target];
    const auto now = context_.loop.now();
    // Without a turn nothing goes to a target at its limit.
    if (turns.client.unanswered(now) && (limited || (shares_capacity() && is_full(target)))) {
        turns.client.defer(now);
        schedule_check(turns);
    }
    if (turns.client.next(now) == turn_client::step::ask)
        ask(target, turns, wish);
    if (turns.client.next(now) != turn_client::step::send)
        return false;
    context_.metrics.count_turn(turns.client.has_turn() ? "given" : "missed");
    if (!turns.client.has_turn())
        context_.log.write(edge::events::turn_missed, target,
                           {{"keeper", turns.asked_scheduler}, {"tokens", wish.tokens}});
    return true;
}

void prompt_turns::ask(const std::string& target, target_turns& turns, const turn_wish& wish) {
    turns.asked_scheduler = core::dispatch::scheduler_of(target, callbacks_.gateways());
    send_request(target, turns, wish, turns.client.ask(wish.tokens, context_.loop.now()));
    if (!turns.client.has_turn())
        schedule_check(turns);
}

void prompt_turns::send_request(const std::string& target, target_turns& turns, const turn_wish& wish,
                                std::int64_t number) {
    const auto now = context_.loop.now();
    if (shares_capacity()) {
        turns.asked_need = wish.need;
        turns.asked_running = callbacks_.room(target).own;
        turns.asked_at = now;
        context_.log.write(edge::events::turn_asked, wish.request_id,
                           {{"target", target},
                            {"keeper", turns.asked_scheduler},
                            {"number", number},
                            {"customer", wish.need.customer},
                            {"priority", wish.need.priority},
                            {"slack_ms", signed_ms(wish.need.send_by - now)}});
    }
    if (turns.asked_scheduler == self()) {
        if (!shares_capacity() || is_limited(target) || may_grant(target)) {
            const auto pace = pace_of(target);
            const duration wait =
                shares_capacity() ? turns.scheduler.ask({self(), number}, wish.tokens, wish.need, pace, now)
                                  : turns.scheduler.ask({self(), number}, wish.tokens, pace, now);
            turns.client.queued(number, wait, now);
            if (const auto own = grant_next_turn(target, turns))
                turns.client.given(*own);
        }
    } else {
        wire::turn_request request;
        request.process = self();
        request.target = target;
        request.number = number;
        request.tokens = wish.tokens;
        if (shares_capacity()) {
            request.__set_priority(wish.need.priority);
            if (!wish.need.customer.empty())
                request.__set_customer(wish.need.customer);
            request.__set_slack_ms(signed_ms(wish.need.send_by - now));
            request.__set_total_tokens(wish.need.total_tokens);
            request.__set_running(turns.asked_running);
        }
        callbacks_.send(turns.asked_scheduler,
                        edge::encode_frame(message_kind::turn_request, number, request));
    }
}

void prompt_turns::offer(const std::string& target, const turn_wish& wish) {
    const auto found = targets_.find(target);
    const auto now = context_.loop.now();
    if (!shares_capacity() || found == targets_.end() || !found->second.client.is_queued(now))
        return;
    target_turns& turns = found->second;
    const bool other_class =
        wish.need.priority != turns.asked_need.priority || wish.need.late(now) != turns.asked_need.late(now);
    const bool other = other_class || wish.need.customer != turns.asked_need.customer ||
                       callbacks_.room(target).own < turns.asked_running;
    if (other && now - turns.asked_at >= (other_class ? urgent_replace_interval : replace_interval))
        send_request(target, turns, wish, turns.client.replace(wish.tokens));
    if (turns.client.has_turn()) // granted by this gateway itself
        context_.loop.schedule(now, [this] { callbacks_.on_turn(); });
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
    if (shares_capacity() && tokens > 0 && turns.client.has_turn() && turns.asked_scheduler == self())
        turns.scheduler.counted({self(), turns.client.number()});
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
    in_turn_ = found->second.client.has_turn();
    callbacks_.on_turn();
    in_turn_ = false;
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

/// What the request states of its urgency; an earlier version states nothing. Values that no gateway sends
/// are replaced by those of a request that states nothing.
core::dispatch::urgency prompt_turns::read_need(const wire::turn_request& request) const {
    core::dispatch::urgency out;
    out.send_by = context_.loop.now() + core::dispatch::unstated_slack;
    out.total_tokens = request.tokens;
    const auto& stated = request.__isset;
    const bool sound =
        (!stated.priority ||
         (request.priority >= 0 && request.priority <= core::dispatch::lowest_priority)) &&
        (!stated.customer || request.customer.size() <= max_customer_name) &&
        (!stated.slack_ms || (request.slack_ms >= -max_slack_ms && request.slack_ms <= max_slack_ms)) &&
        (!stated.total_tokens || (request.total_tokens >= 0 && request.total_tokens <= max_total_tokens)) &&
        (!stated.running || (request.running >= 0 && request.running <= max_running));
    if (!sound) {
        context_.log.write(edge::events::datagram_ignored, request.process,
                           {{"step", "read urgency of a turn request"}, {"target", request.target}});
        return out;
    }
    if (stated.priority)
        out.priority = request.priority;
    if (stated.customer)
        out.customer = request.customer;
    if (stated.slack_ms)
        out.send_by = context_.loop.now() + milliseconds{request.slack_ms};
    if (stated.total_tokens)
        out.total_tokens = request.total_tokens;
    if (stated.running && reported_at_.contains(request.process)) // otherwise its group's sum has them
        callbacks_.on_running_stated(request.process, request.target, request.running);
    return out;
}

void prompt_turns::handle(const wire::turn_request& request) {
    if (shares_capacity() && !is_limited(request.target) && !may_grant(request.target))
        return; // the gateway sends without a turn, as if there were no scheduler
    target_turns& turns = targets_[request.target];
    duration wait{};
    if (shares_capacity()) {
        const auto need = read_need(request);
        wait = turns.scheduler.ask({request.process, request.number}, request.tokens, need,
                                   pace_of(request.target), context_.loop.now());
    } else {
        wait = turns.scheduler.ask({request.process, request.number}, request.tokens, pace_of(request.target),
                                   context_.loop.now());
    }
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
    if (shares_capacity() && !is_limited(target) && !may_grant(target))
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
    if (pace.shared)
        context_.metrics.count_grants("lost", turns.scheduler.settle(reported_at_, now));
    const auto turn = turns.scheduler.next(pace, now);
    if (pace.shared && turn)
        log_grant(target, turns, pace);
    if (pace.shared)
        note_full(target, turns, pace);
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

// ---- shared capacity -----------------------------------------------------------------------------------

bool prompt_turns::may_grant(const std::string& target) const {
    return tenure_.may_grant(target, reported_at_, context_.loop.now());
}

void prompt_turns::note_report(const std::string& peer) {
    if (!shares_capacity())
        return;
    reported_at_[peer] = context_.loop.now();
    const auto full = full_;
    for (const std::string& target : full)
        grant_due_turn(target);
}

/// Notes whether the next turn at the target waits for a place, and logs it once a second.
void prompt_turns::note_full(const std::string& target, target_turns& turns,
                             const core::dispatch::turn_pace& pace) {
    const auto now = context_.loop.now();
    if (!turns.scheduler.has_requests() || turns.scheduler.has_place(pace)) {
        full_.erase(target);
        return;
    }
    if (full_.insert(target).second)
        context_.metrics.count_grants("no_place", 1);
    if (now - turns.full_logged_at < full_log_interval)
        return;
    turns.full_logged_at = now;
    context_.log.write(edge::events::turns_held, target,
                       {{"load", pace.load},
                        {"granted", turns.scheduler.grants_outstanding()},
                        {"places", pace.places},
                        {"waiting_by_priority", turns.scheduler.waiting_by_priority()}});
}

void prompt_turns::log_grant(const std::string& target, const target_turns& turns,
                             const core::dispatch::turn_pace& pace) {
    const auto& granted = turns.scheduler.newest();
    const auto now = context_.loop.now();
    context_.metrics.count_grants(granted.need.late(now) ? "late" : "on_time", 1);
    context_.log.write(edge::events::turn_granted, target,
                       {{"gateway", granted.from.gateway},
                        {"number", granted.from.number},
                        {"customer", granted.need.customer},
                        {"priority", granted.need.priority},
                        {"slack_ms", signed_ms(granted.need.send_by - now)},
                        {"tokens", granted.need.total_tokens},
                        {"load", pace.load},
                        {"granted", turns.scheduler.grants_outstanding()},
                        {"places", pace.places},
                        {"waiting_by_priority", turns.scheduler.waiting_by_priority()}});
}

void prompt_turns::tick() {
    const auto now = context_.loop.now();
    if (!shares_capacity()) {
        ticked_at_ = {};
        full_.clear();
        return;
    }
    const bool stood_still = now - std::exchange(ticked_at_, now) > stand_still;
    tenure_.update(callbacks_.gateways(), now);
    if (stood_still)
        tenure_.interrupted(now);
    for (auto& [target, turns] : targets_) {
        if (stood_still && !turns.client.has_turn())
            turns.client.forget();
        if (turns.client.has_turn()) // turns are used at once or not at all
            report_use(target, turns, 0);
    }
    std::erase_if(full_, [&](const auto& target) { return !targets_.contains(target); });
    std::erase_if(reported_at_, [&](const auto& entry) { return now - entry.second > report_memory; });
    show_waiting();
}

void prompt_turns::show_waiting() const {
    std::array<int, core::dispatch::lowest_priority + 1> sums{};
    for (const auto& [target, turns] : targets_) {
        const auto waiting = turns.scheduler.waiting_by_priority();
        std::transform(sums.begin(), sums.end(), waiting.begin(), sums.begin(), std::plus<>{});
    }
    context_.metrics.set_turns_waiting(sums);
}

} // namespace waxwinglb::programs::gateway
