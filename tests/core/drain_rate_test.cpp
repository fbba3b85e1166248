// The rate at which a queue of waiting requests drains, by which requests are admitted.
#include "core/dispatch/drain_rate.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using dispatch::drain_rate;
using dispatch::expected_wait;

namespace {

constexpr time_point start{100s};

/// A queue that never empties and of which a request is sent every `interval`, for `length`.
drain_rate busy_queue(common::milliseconds interval, common::milliseconds length) {
    drain_rate rate;
    rate.note_waiting(true, start);
    for (auto at = interval; at <= length; at += interval)
        rate.note_sent(start + at);
    return rate;
}

} // namespace

TEST(drain_rate, a_busy_queue_is_measured_by_what_leaves_it) {
    const auto rate = busy_queue(100ms, 4'000ms).per_second(start + 4s);
    ASSERT_TRUE(rate);
    EXPECT_NEAR(*rate, 10, 1);
}

// A model asked for once in ten seconds has an empty queue most of the time, and must not seem slow.
TEST(drain_rate, time_with_an_empty_queue_does_not_count) {
    drain_rate rate;
    for (int second = 0; second < 60; second += 10) {
        rate.note_waiting(true, start + std::chrono::seconds{second});
        rate.note_sent(start + std::chrono::seconds{second} + 50ms);
        rate.note_waiting(false, start + std::chrono::seconds{second} + 50ms);
    }
    EXPECT_FALSE(rate.per_second(start + 60s));
}

TEST(drain_rate, a_queue_that_stands_still_waits_for_as_long_as_allowed) {
    drain_rate rate;
    rate.note_waiting(true, start);
    EXPECT_EQ(expected_wait(0, rate.per_second(start + 1s), 12s), common::duration{12s});
}

TEST(drain_rate, a_queue_that_moves_again_is_known_within_its_time_constant) {
    drain_rate rate;
    rate.note_waiting(true, start);
    for (auto at = 10'000ms; at <= 12'000ms; at += 100ms)
        rate.note_sent(start + at);
    EXPECT_GT(rate.per_second(start + 12s).value_or(0), 5);
}

TEST(drain_rate, nothing_is_expected_of_an_unknown_rate) {
    EXPECT_FALSE(expected_wait(7, std::nullopt, 10s));
}

RC_GTEST_PROP(drain_rate, a_longer_queue_never_has_a_shorter_wait,
              (std::uint8_t ahead, std::uint8_t more, std::uint16_t rate)) {
    const auto wait = expected_wait(ahead, rate / 100.0, 20s);
    const auto longer = expected_wait(ahead + more, rate / 100.0, 20s);
    RC_ASSERT(wait && longer && *wait <= *longer && *longer <= common::duration{20s});
}
