// Log lines about requests: cut to a rate, each kind for itself, and none left out uncounted.
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

TEST(log_line_limit, each_kind_has_its_own_rate_and_tells_what_it_left_out_when_the_second_is_over) {
    line_limit limit{2};
    EXPECT_TRUE(limit.admit("request_sent", start));
    EXPECT_TRUE(limit.admit("request_sent", start + 1ms));
    EXPECT_FALSE(limit.admit("request_sent", start + 2ms));
    EXPECT_TRUE(limit.admit("request_refused", start + 2ms));
    EXPECT_TRUE(limit.take_suppressed(start + 999ms).empty());
    const auto told = limit.take_suppressed(start + 1s);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().event, "request_sent");
    EXPECT_EQ(told.front().lines, 1);
    EXPECT_TRUE(limit.admit("request_sent", start + 1s));
    EXPECT_TRUE(limit.take_all_suppressed().empty()) << "told once";
}

RC_GTEST_PROP(log_line_limit, every_line_is_written_or_counted, (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    line_limit limit{10};
    std::int64_t offered = 0;
    std::int64_t written = 0;
    std::int64_t told = 0;
    auto now = start;
    for (int line = 0; line < 2'000; ++line) {
        now += std::chrono::milliseconds{random() % 30};
        for (const auto& one : limit.take_suppressed(now))
            told += one.lines;
        ++offered;
        written += limit.admit(random() % 3 == 0 ? "request_sent" : "request_refused", now) ? 1 : 0;
    }
    for (const auto& one : limit.take_all_suppressed())
        told += one.lines;
    RC_ASSERT(written + told == offered);
    const std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(now - start).count() + 1;
    RC_ASSERT(written <= 20 * seconds); // two kinds
}
