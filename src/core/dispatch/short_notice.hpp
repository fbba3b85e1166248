/// Decides which running requests are begun elsewhere because their target will be gone at a known time.
///
/// A request that can end before that time runs on where it is. Of the others, those that may be sent again
/// are moved as soon as another target can take them. What is still running shortly before the end is moved
/// in any case, since its answer would be lost.
#pragma once

#include "core/common/time.hpp"

#include <optional>

namespace waxwinglb::core::dispatch {

/// Registrations reach a gateway up to 250 ms after the store has them, and running requests are looked
/// through every 100 ms. The time of the end is therefore known too late by up to this much.
constexpr common::milliseconds notice_delay{500};

/// Events of one stream, as its gateway has received them.
struct stream_progress {
    int events = 0;                    // of the stream, from all targets that this gateway sent it to
    int events_here = 0;               // from the present target
    int first_events = 0;              // of events_here: those that came first, together
    common::time_point first_here{};   // arrival of the first event from the present target
    common::time_point last_here{};    // arrival of the latest one
    common::duration until_first{0};   // from sending until the first event of the first target
    common::time_point stream_begun{}; // arrival of the first event

    void begin_answer(); // the request is sent to a target
    void note(int received, common::time_point sent_at, common::time_point now);
    /// Time between two events of the present target; nullopt before enough have come.
    [[nodiscard]] std::optional<common::duration> pace() const;
};

/// Usual lengths and durations of one service's answers, learned from whole ones.
class usual_answers {
public:
    /// `stated_tokens`: output tokens that the request stated; 0: none. For streams that began at this
    /// gateway and came from one target.
    void note_stream(int stated_tokens, const stream_progress& progress);
    void note_plain(common::duration took); // from sending to the end

    [[nodiscard]] std::optional<double> events_of(int stated_tokens) const; // of a whole stream
    [[nodiscard]] std::optional<common::duration> pace() const { return pace_; }
    [[nodiscard]] std::optional<common::duration> until_first() const { return until_first_; }
    [[nodiscard]] std::optional<common::duration> plain() const { return plain_; }

private:
    std::optional<double> events_;           // of a stream
    std::optional<double> events_per_token_; // stated
    std::optional<common::duration> pace_;   // between two events
    std::optional<common::duration> until_first_;
    std::optional<common::duration> plain_;
};

/// A request that runs at a target.
struct running_answer {
    bool is_stream = false;
    int stated_tokens = 0;        // of the output; 0: not stated
    int events_before = 0;        // of a resumed stream: events that its caller had already
    stream_progress progress;     // of a stream
    common::time_point sent_at{}; // to the present target
};

/// When the answer should be complete; nullopt if nothing is known of its length or pace.
[[nodiscard]] std::optional<common::time_point>
expected_end(const running_answer& answer, const usual_answers& usual, common::time_point now);

enum class notice_decision {
    ends_in_time,  // runs on; also while nothing is known of its end
    move_now,      // can't end in time, and another target can take it
    wait_for_room, // can't end in time, but no other target can take it yet
    move_at_last,  // the target is about to be gone
};
[[nodiscard]] const char* name_of(notice_decision decision);

/// Decides on a request that may be sent again. `room_elsewhere`: another target can take it now.
[[nodiscard]] notice_decision decide_on_notice(const std::optional<common::time_point>& expected_end,
                                               common::time_point gone_at, bool room_elsewhere,
                                               common::time_point now);

} // namespace waxwinglb::core::dispatch
