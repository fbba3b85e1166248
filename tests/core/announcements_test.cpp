// Announcements between gateways: their period, the choice of informants, and repetition.
#include "core/fleet/directory.hpp"
#include "core/membership/announcements.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using membership::announcement_period;
using membership::announcement_schedule;
using membership::is_informant;

namespace {

constexpr auto contact_limit = 1'000ms; // a peer silent for longer is out of contact

std::vector<std::string> names(int count) {
    std::vector<std::string> out;
    for (int at = 0; at < count; ++at)
        out.push_back("edge-" + std::to_string(at));
    return out;
}

std::vector<std::string> without(std::vector<std::string> gateways, const std::string& one) {
    std::erase(gateways, one);
    return gateways;
}

TEST(announcement_period, small_fleet_announces_five_times_a_second) {
    EXPECT_EQ(announcement_period(5), 200ms);
}

TEST(announcement_period, large_fleet_announces_less_often_but_two_messages_may_be_lost) {
    EXPECT_GT(announcement_period(25), 200ms);
    for (const std::size_t members : {1U, 25U, 31U, 300U})
        EXPECT_LT(2 * announcement_period(members), contact_limit);
}

RC_GTEST_PROP(informants, one_or_two_if_all_gateways_have_the_same_view, ()) {
    const auto gateways = names(*rc::gen::inRange(1, 40));
    const std::string requester = "cut-" + std::to_string(*rc::gen::inRange(0, 1'000));
    int count = 0;
    for (const std::string& self : gateways)
        count += is_informant(self, requester, without(gateways, self)) ? 1 : 0;
    RC_ASSERT(count == std::min(2, static_cast<int>(gateways.size())));
}

RC_GTEST_PROP(informants, at_least_one_if_views_differ, ()) {
    const auto gateways = names(*rc::gen::inRange(1, 20));
    int count = 0;
    for (const std::string& self : gateways) {
        std::vector<std::string> seen;
        for (const std::string& other : without(gateways, self))
            if (*rc::gen::arbitrary<bool>())
                seen.push_back(other);
        count += is_informant(self, "requester", seen) ? 1 : 0;
    }
    RC_ASSERT(count >= 1);
}

TEST(announcement_schedule, changed_target_is_announced_at_once_and_repeated_for_half_a_second) {
    announcement_schedule schedule{1'000ms};
    const time_point start{10s};
    EXPECT_TRUE(schedule.due("t", 1, start));
    EXPECT_TRUE(schedule.due("t", 1, start + 200ms));
    EXPECT_FALSE(schedule.due("t", 1, start + 800ms));
    EXPECT_TRUE(schedule.due("t", 2, start + 900ms)) << "it changed";
}

TEST(announcement_schedule, unchanged_target_is_repeated_before_its_description_expires) {
    announcement_schedule schedule{1'000ms};
    time_point last{10s};
    int count = 0;
    for (time_point at{10s}; at < time_point{30s}; at += 200ms) {
        if (!schedule.due("t", 1, at))
            continue;
        ++count;
        EXPECT_LE(2 * (at - last), fleet::description_term) << "one message may be lost";
        last = at;
    }
    EXPECT_LE(count, 25) << "of 100 messages";
}

TEST(announcement_schedule, target_dropped_by_forget_old_counts_as_changed) {
    announcement_schedule schedule{1'000ms};
    EXPECT_TRUE(schedule.due("t", 1, time_point{10s}));
    schedule.forget_old(time_point{30s});
    EXPECT_TRUE(schedule.due("t", 1, time_point{31s}));
    EXPECT_TRUE(schedule.due("t", 1, time_point{31s} + 200ms)) << "repeated, as any changed target";
}

} // namespace
