#include "core/dispatch/prompt_turns.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::dispatch {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

constexpr milliseconds answer_limit{40};      // a round trip between gateways takes a few milliseconds
constexpr milliseconds unanswered_pause{300}; // a silent scheduler is replaced within about a second
constexpr double rounding = 1e-6;             // of a turn
constexpr milliseconds turn_slack{150};  // after the expected time the turn or its message counts as lost
constexpr milliseconds full_wait{200};   // told to gateways that wait for a place at a full target
constexpr milliseconds place_check{100}; // of a full target without news of its load

/// Zero if nothing was sent, or if the pace has no positive rate: the setting may be switched off while turns
/// are pending.
duration reading_time(int tokens, const turn_pace& pace) {
    if (tokens <= 0 || pace.tokens_per_ms <= 0)
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{tokens / pace.tokens_per_ms});
}

/// Time in which the limit allows `turns` more; zero without a limit.
duration limit_time(double turns, const turn_pace& pace) {
    if (turns <= 0 || pace.turns_per_second <= 0)
        return duration::zero();
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{turns / pace.turns_per_second});
}

} // namespace

std::string scheduler_of(const std::string& target, std::span<const std::string> gateways) {
    const auto best = std::max_element(gateways.begin(), gateways.end(), [&](const auto& a, const auto& b) {
        return common::rendezvous_rank(a, target) < common::rendezvous_rank(b, target);
    });
    return best == gateways.end() ? std::string{} : *best;
}

// ---- scheduler ---------------------------------------------------------------------------------------

duration turn_scheduler::ask(const turn& from, int tokens, const urgency& need, const turn_pace& pace,
                             time_point now) {
    accrue(pace, now);
    if (grants_.contains(from.gateway, from.number))
        return duration::zero();
    grants_.close_earlier(from.gateway, from.number);
    duration wait = due_at(pace, now) - now;
    const turn_request request{from, tokens, need};
    turn_request* older = nullptr;
    for (turn_request& queued : requests_) {
        if (queued.from.gateway == from.gateway) {
            older = &queued;
            if (!pace.shared)
                break;
            continue;
        }
        if (!pace.shared || order_.precedes(queued.need, need, now))
            wait += std::max(reading_time(queued.tokens, pace), limit_time(1, pace));
    }
    if (older != nullptr)
        *older = request;
    else
        requests_.push_back(request);
    return has_place(pace) ? wait : std::max<duration>(wait, full_wait);
}

std::optional<turn_scheduler::turn> turn_scheduler::next(const turn_pace& pace, time_point now) {
    accrue(pace, now);
    if (requests_.empty() || now < due_at(pace, now) || !has_place(pace))
        return std::nullopt;
    newest_ = take_next(pace, now);
    given_at_ = now;
    free_at_ = now + reading_time(newest_.tokens, pace);
    allowance_ -= 1;
    return newest_.from;
}

turn_scheduler::turn_request turn_scheduler::take_next(const turn_pace& pace, time_point now) {
    std::size_t index = 0;
    if (pace.shared)
        index = order_.first(waiting_needs(), now);
    const auto at = requests_.begin() + static_cast<std::ptrdiff_t>(index);
    turn_request out = std::move(*at);
    requests_.erase(at);
    if (pace.shared) {
        order_.granted(out.need, waiting_needs(), now);
        grants_.add(out.from.gateway, out.from.number, out.need, now);
    }
    return out;
}

std::vector<const urgency*> turn_scheduler::waiting_needs() const {
    std::vector<const urgency*> out;
    out.reserve(requests_.size());
    for (const turn_request& queued : requests_)
        out.push_back(&queued.need);
    return out;
}

void turn_scheduler::sent(const turn& in, int tokens, const turn_pace& pace) {
    if (tokens == 0)
        if (const auto need = grants_.give_back(in.gateway, in.number))
            order_.returned(*need);
    if (in.gateway != newest_.from.gateway || in.number != newest_.from.number)
        return;
    free_at_ = given_at_ + reading_time(tokens, pace);
    if (tokens == 0)
        allowance_ = std::min(allowance_ + 1, 1.0);
}

bool turn_scheduler::has_place(const turn_pace& pace) const {
    return !pace.shared || pace.places <= 0 || pace.load + grants_.count() < pace.places;
}

std::array<int, lowest_priority + 1> turn_scheduler::waiting_by_priority() const {
    std::array<int, lowest_priority + 1> out{};
    for (const turn_request& queued : requests_)
        ++out[static_cast<std::size_t>(std::clamp(queued.need.priority, 0, lowest_priority))];
    return out;
}

std::vector<turn_scheduler::turn> turn_scheduler::release() {
    std::vector<turn> out;
    grants_.clear();
    for (const turn_request& queued : std::exchange(requests_, {}))
        out.push_back(queued.from);
    return out;
}

time_point turn_scheduler::due_at(const turn_pace& pace, time_point now) const {
    const duration until_place = has_place(pace) ? duration::zero() : place_check;
    return std::max({free_at_, now + until_place, now + limit_time(1 - allowance_ - rounding, pace)});
}

void turn_scheduler::accrue(const turn_pace& pace, time_point now) {
    const bool limited = pace.turns_per_second > 0;
    if (limited && limited_at_)
        allowance_ =
            std::min(1.0, allowance_ + pace.turns_per_second *
                                           std::chrono::duration<double>(now - *limited_at_).count());
    else
        allowance_ = 0;
    limited_at_ = limited ? std::optional{now} : std::nullopt;
}

// ---- client ------------------------------------------------------------------------------------------

turn_client::step turn_client::next(time_point now) const {
    switch (state_) {
    case state::given:
        return step::send;
    case state::asked:
        return now >= until_ ? step::send : step::wait; // the scheduler did not answer: send without a turn
    case state::queued:
        return now >= until_ ? step::ask : step::wait;
    case state::idle:
        break;
    }
    return step::ask;
}

std::int64_t turn_client::ask(int tokens, time_point now) {
    state_ = state::asked;
    until_ = now + answer_limit;
    asked_for_ = tokens;
    return ++number_;
}

std::int64_t turn_client::replace(int tokens) {
    asked_for_ = tokens;
    return number_;
}

void turn_client::queued(std::int64_t number, duration wait, time_point now) {
    if ((state_ != state::asked && state_ != state::queued) || number != number_)
        return;
    state_ = state::queued;
    until_ = now + wait + turn_slack;
}

void turn_client::defer(time_point now) {
    state_ = state::queued;
    until_ = now + unanswered_pause;
}

void turn_client::given(std::int64_t number) {
    if (number == number_ && (state_ == state::asked || state_ == state::queued))
        state_ = state::given;
}

std::optional<std::int64_t> turn_client::sent(int tokens) {
    const bool in_turn = state_ == state::given;
    state_ = state::idle;
    if (in_turn && tokens != asked_for_)
        return number_;
    return std::nullopt;
}

} // namespace waxwinglb::core::dispatch
