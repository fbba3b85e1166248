#include "programs/gateway/reading_turns.hpp"

namespace waxwinglb::programs::gateway {

using core::common::duration;
using core::common::milliseconds;
using core::dispatch::turn_client;
using wire::message_kind;

namespace {

constexpr double ms_per_second = 1'000;

} // namespace

double reading_turns::pace() const {
    return context_.settings.prompt_tokens_per_second / ms_per_second;
}

// ---- asking ------------------------------------------------------------------------------------------

bool reading_turns::may_send(const std::string& target, int tokens) {
    if (context_.settings.prompt_tokens_per_second <= 0)
        return true;
    target_turns& one = targets_[target];
    const auto now = context_.loop.now();
    if (one.seeker.next(now) == turn_client::step::ask)
        ask(target, one, tokens);
    if (one.seeker.next(now) != turn_client::step::send)
        return false;
    context_.numbers.count_turn(one.seeker.has_turn() ? "given" : "missed");
    if (!one.seeker.has_turn())
        context_.log.write(edge::events::turn_missed, target, {{"keeper", one.asked}, {"tokens", tokens}});
    return true;
}

void reading_turns::ask(const std::string& target, target_turns& one, int tokens) {
    const auto now = context_.loop.now();
    one.asked = core::dispatch::scheduler_of(target, owner_.gateways());
    const std::int64_t number = one.seeker.ask(tokens, now);
    if (one.asked == self()) {
        one.seeker.queued(number, one.keeper.ask({self(), number}, tokens, pace(), now), now);
        if (const auto own = give_next(target, one))
            one.seeker.given(*own);
    } else {
        wire::turn_request question;
        question.process = self();
        question.target = target;
        question.number = number;
        question.tokens = tokens;
        owner_.send(one.asked, edge::encode_frame(message_kind::turn_request, number, question));
    }
    if (!one.seeker.has_turn())
        look_again(one);
}

/// The keeper's word may be lost.
void reading_turns::look_again(const target_turns& one) {
    context_.loop.schedule(one.seeker.look_again(), [this] { owner_.on_turn(); });
}

void reading_turns::sent(const std::string& target, int tokens) {
    if (const auto found = targets_.find(target); found != targets_.end())
        tell_use(target, found->second, tokens);
}

/// Tells the keeper what its turn was used for, if that is not what it was given for.
void reading_turns::tell_use(const std::string& target, target_turns& one, int tokens) {
    const auto number = one.seeker.sent(tokens);
    if (!number)
        return;
    if (one.asked == self()) {
        one.keeper.sent({self(), *number}, tokens, pace());
        return;
    }
    wire::turn_use use;
    use.process = self();
    use.target = target;
    use.number = *number;
    use.tokens = tokens;
    owner_.send(one.asked, edge::encode_frame(message_kind::turn_use, *number, use));
}

bool reading_turns::queued(const std::string& target) const {
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.seeker.is_queued(context_.loop.now());
}

void reading_turns::begin_turn(const std::string& target, std::int64_t number) {
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    found->second.seeker.given(number);
    owner_.on_turn();
    if (!found->second.seeker.has_turn())
        return;
    context_.numbers.count_turn("unused"); // what it was asked for has gone elsewhere, or its caller left
    tell_use(target, found->second, 0);
}

void reading_turns::take(const wire::turn_answer& from) {
    const auto found = targets_.find(from.target);
    if (found == targets_.end() || found->second.asked != from.process)
        return;
    if (from.given)
        return begin_turn(from.target, from.number);
    found->second.seeker.queued(from.number, milliseconds{from.wait_ms}, context_.loop.now());
    look_again(found->second);
}

// ---- keeping -----------------------------------------------------------------------------------------

void reading_turns::take(const wire::turn_request& from) {
    if (context_.settings.prompt_tokens_per_second <= 0)
        return;
    const duration wait = targets_[from.target].keeper.ask({from.process, from.number}, from.tokens, pace(),
                                                           context_.loop.now());
    if (wait > duration::zero()) {
        wire::turn_answer answer;
        answer.process = self();
        answer.target = from.target;
        answer.number = from.number;
        answer.wait_ms = core::common::to_wire_ms(wait);
        owner_.send(from.process, edge::encode_frame(message_kind::turn_answer, from.number, answer));
    }
    give_due(from.target);
}

void reading_turns::take(const wire::turn_use& from) {
    const auto found = targets_.find(from.target);
    if (found == targets_.end())
        return;
    found->second.keeper.sent({from.process, from.number}, from.tokens, pace());
    give_due(from.target);
}

void reading_turns::give_due(const std::string& target) {
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    if (const auto own = give_next(target, found->second))
        begin_turn(target, *own);
}

/// Gives the turn that is due, and looks again when the next one is. Returns the number of an own one.
std::optional<std::int64_t> reading_turns::give_next(const std::string& target, target_turns& one) {
    const auto turn = one.keeper.next(pace(), context_.loop.now());
    context_.loop.cancel(one.timer);
    if (one.keeper.has_requests())
        one.timer = context_.loop.schedule(one.keeper.free_at(), [this, target] { give_due(target); });
    if (!turn)
        return std::nullopt;
    if (turn->gateway == self())
        return turn->number;
    wire::turn_answer answer;
    answer.process = self();
    answer.target = target;
    answer.number = turn->number;
    answer.given = true;
    owner_.send(turn->gateway, edge::encode_frame(message_kind::turn_answer, turn->number, answer));
    return std::nullopt;
}

void reading_turns::forget_missing() {
    std::erase_if(targets_, [&](const auto& one) { return context_.directory.find(one.first) == nullptr; });
}

} // namespace waxwinglb::programs::gateway
