// Rate limit for log lines: each event has its own rate, and all suppressed lines are counted.
#include "core/timeline/line_limit.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using timeline::line_limit;

namespace {

constexpr common::time_point start{100s};

} // namespace

TEST(log_line_limit, each_event_has_its_own_rate_and_suppressed_lines_are_reported_after_the_window) {
    line_limit limit{2};
    EXPECT_TRUE(limit.admit("request_sent", start));
    EXPECT_TRUE(limit.admit("request_sent", start + 1ms));
    EXPECT_FALSE(limit.admit("request_sent", start + 2ms));
    EXPECT_TRUE(limit.admit("request_refused", start + 2ms));
    EXPECT_TRUE(limit.take_suppressed(start + 999ms).empty());
    const auto reported = limit.take_suppressed(start + 1s);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported.front().event, "request_sent");
    EXPECT_EQ(reported.front().lines, 1);
    EXPECT_TRUE(limit.admit("request_sent", start + 1s));
    EXPECT_TRUE(limit.take_all_suppressed().empty()) << "reported once";
}

RC_GTEST_PROP(log_line_limit, every_line_is_written_or_counted, (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    line_limit limit{10};
    std::int64_t offered = 0;
    std::int64_t written = 0;
    std::int64_t reported = 0;
    auto now = start;
    for (int line = 0; line < 2'000; ++line) {
        now += std::chrono::milliseconds{random() % 30};
        for (const auto& dropped : limit.take_suppressed(now))
            reported += dropped.lines;
        ++offered;
        written += limit.admit(random() % 3 == 0 ? "request_sent" : "request_refused", now) ? 1 : 0;
    }
    for (const auto& dropped : limit.take_all_suppressed())
        reported += dropped.lines;
    RC_ASSERT(written + reported == offered);
    const std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(now - start).count() + 1;
    RC_ASSERT(written <= 20 * seconds); // two events
}
