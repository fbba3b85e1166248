/// Turns in which the gateways send requests to one target.
///
/// Several gateways send prompts to the target that holds a busy model, and none sees what the others send.
/// Before its next step an engine reads (prefills) all prompts that have arrived since the last one; four or
/// five at once pause every stream in its batch for longer than callers accept. For each target, one gateway
/// therefore acts as the scheduler: it spaces the prompts of all gateways at the rate at which the target
/// reads prompts between the steps of its batch. Each gateway requests one turn at a time and sends its most
/// urgent request in it.
///
/// In the same way the gateways together keep the limit of a target that has named one (core/limits): then
/// the scheduler also spaces turns by it, plain services have turns too, and nothing is sent without a turn.
///
/// With shared capacity (turn_pace::shared) turns are granted by urgency over all gateways, and a turn also
/// grants one of the target's places: docs/design/shared-capacity.md.
#pragma once

#include "core/common/time.hpp"
#include "core/dispatch/outstanding_grants.hpp"
#include "core/dispatch/urgency.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace waxwinglb::core::dispatch {

/// Slack of a request that doesn't state it: it comes from an earlier version.
constexpr common::milliseconds unstated_slack{500};

/// The one of `gateways` that schedules the turns of `target`; empty if `gateways` is empty.
[[nodiscard]] std::string scheduler_of(const std::string& target, std::span<const std::string> gateways);

/// How fast turns at one target follow each other, and in which order.
struct turn_pace {
    double tokens_per_ms = 0;    // prompt tokens; 0: prompts are not spaced
    double turns_per_second = 0; // 0: no limit
    bool shared = false;         // turns are granted by urgency, and only while the target has a place
    int places = 0;              // requests that the target may have at once; 0: any number
    int load = 0;                // requests at the target as the gateways last reported them
};

/// The scheduler's side, for one target: turns are granted in order of request or by urgency, one pending for
/// each gateway.
class turn_scheduler {
public:
    struct turn {
        std::string gateway;
        std::int64_t number = 0; // of the gateway's request for the turn
    };
    /// Requests a turn to send a prompt of `tokens`. A newer request of the same gateway replaces its older
    /// one and keeps its place in the queue. Returns the approximate wait.
    common::duration ask(const turn& from, int tokens, const turn_pace& pace, common::time_point now) {
        return ask(from, tokens, {default_priority, {}, now + unstated_slack, tokens}, pace, now);
    }
    /// Also states how urgent the request is. The gateway's earlier turns count as used or lost. A request
    /// whose turn was granted meanwhile is ignored.
    common::duration ask(const turn& from, int tokens, const urgency& need, const turn_pace& pace,
                         common::time_point now);
    /// Grants the next turn if it is due.
    std::optional<turn> next(const turn_pace& pace, common::time_point now);
    /// Corrects the size of a granted turn: `tokens` were sent, unlike what was requested. 0: nothing was
    /// sent.
    void sent(const turn& in, int tokens, const turn_pace& pace);

    /// The turn was used, and the load counts its request from now on.
    void counted(const turn& in) { grants_.close_earlier(in.gateway, in.number + 1); }
    /// Drops grants that the reported load counts, and those that were lost; returns the number of the
    /// latter.
    int settle(const report_times& reported, common::time_point now) { return grants_.settle(reported, now); }

    /// Removes and returns all requests, when another gateway has become the scheduler.
    std::vector<turn> release();
    [[nodiscard]] bool has_requests() const { return !requests_.empty(); }
    [[nodiscard]] common::time_point due_at(const turn_pace& pace, common::time_point now) const; // next turn
    /// Whether a shared target takes another request; true unless the pace is shared and has places.
    [[nodiscard]] bool has_place(const turn_pace& pace) const;
    [[nodiscard]] int grants_outstanding() const { return grants_.count(); }
    [[nodiscard]] std::array<int, lowest_priority + 1> waiting_by_priority() const;

    struct turn_request {
        turn from;
        int tokens = 0;
        urgency need;
    };
    [[nodiscard]] const turn_request& newest() const { return newest_; } // the turn granted last

private:
    void accrue(const turn_pace& pace, common::time_point now);
    [[nodiscard]] std::vector<const urgency*> waiting_needs() const;
    [[nodiscard]] turn_request take_next(const turn_pace& pace, common::time_point now);

    std::deque<turn_request> requests_;
    urgency_order order_;           // what customers were granted
    outstanding_grants grants_;     // of places
    turn_request newest_;           // the turn granted last
    common::time_point given_at_{}; // when it was granted
    common::time_point free_at_{};  // when its prompt will have been read
    /// Turns that the target's limit allows now, 1 at most. It begins at 0: a gateway that has just become
    /// the scheduler doesn't know what its predecessor granted.
    double allowance_ = 0;
    std::optional<common::time_point> limited_at_; // up to when the allowance is counted; unset: no limit
};

/// The requesting side, for one target. If the scheduler does not answer in time, prompts are sent without a
/// turn; where that is not allowed, defer() ends the wait.
class turn_client {
public:
    enum class step {
        send, // a prompt may be sent now
        ask,  // request a turn from the scheduler
        wait, // for the scheduler's answer or the turn, at most until look_again()
    };
    [[nodiscard]] step next(common::time_point now) const;
    [[nodiscard]] common::time_point look_again() const { return until_; }

    std::int64_t ask(int tokens, common::time_point now); // returns the number of the request
    /// The queued request is now for another prompt. It keeps its number: a grant of it that is on its way
    /// holds.
    std::int64_t replace(int tokens);
    void forget() { state_ = state::idle; } // a turn granted before would come too late
    /// The scheduler has queued the request; the turn is expected after `wait`. It may correct that later.
    void queued(std::int64_t number, common::duration wait, common::time_point now);
    void given(std::int64_t number); // the turn was granted and begins now
    [[nodiscard]] bool unanswered(common::time_point now) const {
        return state_ == state::asked && now >= until_;
    }
    void defer(common::time_point now); // the scheduler did not answer; it is asked again after a pause

    /// A prompt of `tokens` has been sent; 0: there was none to send. Returns the number of the turn if the
    /// scheduler must be told because another number of tokens was requested.
    std::optional<std::int64_t> sent(int tokens);
    [[nodiscard]] bool has_turn() const { return state_ == state::given; }
    [[nodiscard]] std::int64_t number() const { return number_; } // of the newest request
    [[nodiscard]] bool is_queued(common::time_point now) const {
        return state_ == state::queued && now < until_;
    }

private:
    enum class state { idle, asked, queued, given };
    state state_ = state::idle;
    std::int64_t number_ = 0;
    int asked_for_ = 0;          // prompt tokens of the newest request
    common::time_point until_{}; // end of the wait for the scheduler
};

} // namespace waxwinglb::core::dispatch
