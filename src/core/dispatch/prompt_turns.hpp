/// Turns in which gateways send prompts to one target.
///
/// The load that it answers: several gateways send prompts to the one target that holds a busy model, and
/// none sees what the others send. An engine reads all prompts that have come since its last step before it
/// takes the next one, so that four or five at once hold up every stream in its batch for longer than its
/// callers accept. So one gateway, the keeper, spaces the prompts of all gateways for a target at the pace at
/// which the target reads them between the steps of its batch. Each gateway asks for one turn at a time, and
/// sends in it whichever of its requests is the most urgent then.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>

namespace waxwinglb::core::dispatch {

/// The gateway that gives the turns for `target`, of these; empty if there is none.
[[nodiscard]] std::string scheduler_of(const std::string& target, std::span<const std::string> gateways);

/// The keeper's side, for one target: first come, first served, one turn for each gateway at a time.
class turn_scheduler {
public:
    struct turn {
        std::string gateway;
        std::int64_t number = 0; // of the question
    };
    /// A gateway wants to send so many prompt tokens. Its newer question takes the place of an older one.
    /// Returns about how long it will wait.
    common::duration ask(const turn& from, int tokens, double tokens_per_ms, common::time_point now);
    /// The turn that begins now, if one does.
    std::optional<turn> next(double tokens_per_ms, common::time_point now);
    /// What was sent in a turn, if that differs from what was asked for; 0: nothing.
    void sent(const turn& in, int tokens, double tokens_per_ms);

    [[nodiscard]] bool has_requests() const { return !questions_.empty(); }
    [[nodiscard]] common::time_point free_at() const { return free_at_; }

private:
    struct question {
        turn from;
        int tokens = 0;
    };
    std::deque<question> questions_;
    turn newest_;                   // given
    common::time_point given_at_{}; // the newest turn
    common::time_point free_at_{};  // its prompt is read by then
};

/// The asking side, for one target. A keeper that says nothing is not waited for.
class turn_client {
public:
    enum class step {
        send, // a prompt may go now
        ask,  // the keeper is to be asked
        wait, // for the keeper, until look_again() at most
    };
    [[nodiscard]] step next(common::time_point now) const;
    [[nodiscard]] common::time_point look_again() const { return until_; }

    std::int64_t ask(int tokens, common::time_point now); // returns the number of the question
    void queued(std::int64_t number, common::duration wait, common::time_point now);
    void given(std::int64_t number); // the turn begins

    /// A prompt has been sent, or, with 0 tokens, there was none to send. Returns the number of the turn if
    /// the keeper must be told, since it was given for other tokens.
    std::optional<std::int64_t> sent(int tokens);
    [[nodiscard]] bool has_turn() const { return state_ == state::given; }
    [[nodiscard]] bool is_queued(common::time_point now) const {
        return state_ == state::queued && now < until_;
    }

private:
    enum class state { idle, asked, queued, given };
    state state_ = state::idle;
    std::int64_t number_ = 0;
    int asked_for_ = 0;          // prompt tokens
    common::time_point until_{}; // the keeper's word is waited for
};

} // namespace waxwinglb::core::dispatch
