#include "core/dispatch/prompt_turns.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

constexpr milliseconds answer_limit{40}; // a round trip between gateways takes a few milliseconds
constexpr milliseconds turn_slack{150};  // after the expected time the turn or its message counts as lost

/// Zero if the pace is not positive: the setting may be switched off while turns are pending.
duration reading_time(int tokens, double tokens_per_ms) {
    if (tokens <= 0 || tokens_per_ms <= 0)
        return duration::zero();
    const std::chrono::duration<double, std::milli> time{tokens / tokens_per_ms};
    return std::chrono::duration_cast<duration>(time);
}

} // namespace

std::string scheduler_of(const std::string& target, std::span<const std::string> gateways) {
    const auto best = std::max_element(gateways.begin(), gateways.end(), [&](const auto& a, const auto& b) {
        return common::rendezvous_rank(a, target) < common::rendezvous_rank(b, target);
    });
    return best == gateways.end() ? std::string{} : *best;
}

// ---- scheduler ---------------------------------------------------------------------------------------

duration turn_scheduler::ask(const turn& from, int tokens, double tokens_per_ms, time_point now) {
    duration wait = std::max(free_at_, now) - now;
    for (turn_request& queued : requests_) {
        if (queued.from.gateway == from.gateway) {
            queued = {from, tokens};
            return wait;
        }
        wait += reading_time(queued.tokens, tokens_per_ms);
    }
    requests_.push_back({from, tokens});
    return wait;
}

std::optional<turn_scheduler::turn> turn_scheduler::next(double tokens_per_ms, time_point now) {
    if (requests_.empty() || now < free_at_)
        return std::nullopt;
    const turn_request first = std::move(requests_.front());
    requests_.pop_front();
    newest_ = first.from;
    given_at_ = now;
    free_at_ = now + reading_time(first.tokens, tokens_per_ms);
    return first.from;
}

void turn_scheduler::sent(const turn& in, int tokens, double tokens_per_ms) {
    if (in.gateway == newest_.gateway && in.number == newest_.number)
        free_at_ = given_at_ + reading_time(tokens, tokens_per_ms);
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

void turn_client::queued(std::int64_t number, duration wait, time_point now) {
    if (state_ != state::asked || number != number_)
        return;
    state_ = state::queued;
    until_ = now + wait + turn_slack;
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
