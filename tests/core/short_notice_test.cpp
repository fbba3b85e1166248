// Tests of the decision which requests leave a target that will be gone at a known time.
#include "core/dispatch/short_notice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using dispatch::decide_on_notice;
using dispatch::expected_end;
using dispatch::notice_decision;
using dispatch::running_answer;
using dispatch::stream_progress;
using dispatch::usual_answers;

namespace {

constexpr time_point start{100s};

/// Progress of a stream that was sent at `sent`, began 100 ms later and has got `events` since, one each
/// `pace`.
stream_progress progress(int events, common::duration pace, time_point sent = start) {
    stream_progress out;
    out.begin_answer();
    for (int i = 0; i < events; ++i)
        out.note(1, sent, sent + 100ms + i * pace);
    return out;
}

/// Streams have an event for each 4 tokens, one each 20 ms.
usual_answers usual_streams() {
    usual_answers out;
    out.note_stream(400, progress(100, 20ms));
    return out;
}

running_answer stream(int stated_tokens, const stream_progress& progress) {
    return {true, stated_tokens, 0, progress, start};
}

} // namespace

TEST(short_notice, a_stream_that_has_more_tokens_due_than_time_left_is_moved_at_once) {
    const auto now = start + 300ms;
    const auto end = expected_end(stream(4'000, progress(10, 20ms)), usual_streams(), now);
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(*end, now + 990 * 20ms);
    EXPECT_EQ(decide_on_notice(end, now + 10s, true, now), notice_decision::move_now);
}

TEST(short_notice, a_stream_that_ends_in_time_is_not_interrupted) {
    const auto now = start + 300ms;
    const auto end = expected_end(stream(400, progress(10, 20ms)), usual_streams(), now);
    EXPECT_EQ(decide_on_notice(end, now + 3s, true, now), notice_decision::ends_in_time);
}

TEST(short_notice, a_stream_that_falls_behind_its_usual_pace_is_judged_by_its_own) {
    const auto now = start + 2s;
    const auto end = expected_end(stream(400, progress(10, 200ms)), usual_streams(), now);
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(*end, now + 90 * 200ms);
}

TEST(short_notice, events_that_come_together_do_not_make_the_pace_look_faster) {
    stream_progress behind; // a resumed stream gets what was buffered in one piece
    behind.note(50, start, start + 100ms);
    for (int i = 1; i <= 4; ++i)
        behind.note(1, start, start + 100ms + i * 100ms);
    ASSERT_TRUE(behind.pace().has_value());
    EXPECT_EQ(*behind.pace(), 100ms);
}

TEST(short_notice, the_pace_of_an_earlier_target_does_not_count) {
    auto joined = progress(20, 500ms);
    joined.begin_answer();
    EXPECT_FALSE(joined.pace().has_value());
    for (int i = 0; i < 5; ++i)
        joined.note(1, start + 20s, start + 21s + i * 10ms);
    EXPECT_EQ(*joined.pace(), 10ms);
    EXPECT_EQ(joined.events, 25);
}

TEST(short_notice, a_stream_that_its_caller_resumed_is_not_taken_for_a_whole_one) {
    running_answer resumed = stream(400, progress(10, 20ms));
    resumed.events_before = 60;
    EXPECT_EQ(*expected_end(resumed, usual_streams(), start + 300ms), start + 300ms + 30 * 20ms);
}

TEST(short_notice, a_stream_without_stated_tokens_is_judged_by_the_usual_length) {
    const auto now = start + 300ms;
    EXPECT_EQ(*expected_end(stream(0, progress(10, 20ms)), usual_streams(), now), now + 90 * 20ms);
}

TEST(short_notice, a_stream_whose_prompt_is_still_being_read_has_its_first_event_before_it) {
    EXPECT_EQ(*expected_end(stream(400, {}), usual_streams(), start + 10ms), start + 100ms + 100 * 20ms);
}

TEST(short_notice, a_stream_longer_than_usual_is_not_expected_to_end_at_once) {
    const auto now = start + 10s;
    EXPECT_GT(*expected_end(stream(400, progress(150, 20ms)), usual_streams(), now), now + 400ms);
}

TEST(short_notice, a_plain_call_that_takes_longer_than_usual_is_not_expected_to_end_at_once) {
    usual_answers usual;
    running_answer call;
    call.sent_at = start;
    EXPECT_FALSE(expected_end(call, usual, start).has_value());
    usual.note_plain(2s);
    EXPECT_EQ(*expected_end(call, usual, start + 1s), start + 2s);
    EXPECT_EQ(*expected_end(call, usual, start + 5s), start + 5500ms);
}

TEST(short_notice, without_room_elsewhere_a_request_goes_on_until_the_last_moment) {
    const auto gone_at = start + 5s;
    EXPECT_EQ(decide_on_notice(start + 60s, gone_at, false, start), notice_decision::wait_for_room);
    EXPECT_EQ(decide_on_notice(start + 60s, gone_at, false, gone_at - dispatch::notice_delay),
              notice_decision::move_at_last);
}

TEST(short_notice, a_request_of_unknown_length_is_not_lost_with_its_target) {
    const auto gone_at = start + 5s;
    EXPECT_EQ(decide_on_notice(std::nullopt, gone_at, true, start), notice_decision::ends_in_time);
    EXPECT_EQ(decide_on_notice(std::nullopt, gone_at, true, gone_at - 400ms), notice_decision::move_at_last);
}

TEST(short_notice, token_counts_beyond_any_answer_do_not_overflow) {
    auto usual = usual_streams();
    const auto end = expected_end(stream(std::numeric_limits<int>::max(), progress(10, 20ms)), usual, start);
    ASSERT_TRUE(end.has_value());
    EXPECT_LE(*end, start + 24h);
    EXPECT_GT(*end, start);
}

// A request that is expected to end after its target must never be left there to the end.
RC_GTEST_PROP(short_notice, no_request_is_left_at_a_target_beyond_its_last_moment, ()) {
    const auto left = std::chrono::milliseconds{*rc::gen::inRange(-1'000, 60'000)};
    const auto needs = std::chrono::milliseconds{*rc::gen::inRange(0, 120'000)};
    const bool room = *rc::gen::arbitrary<bool>();
    const auto decision = decide_on_notice(start + needs, start + left, room, start);
    if (left <= dispatch::notice_delay)
        RC_ASSERT(decision == notice_decision::move_at_last);
    else if (needs > left)
        RC_ASSERT(decision == (room ? notice_decision::move_now : notice_decision::wait_for_room));
    if (decision == notice_decision::ends_in_time)
        RC_ASSERT(needs + dispatch::notice_delay <= left);
}
