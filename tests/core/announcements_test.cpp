// What gateways tell each other: how often, by whom, and what again.
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

constexpr auto contact_limit = 1'000ms; // stated: silent for longer is out of contact

std::vector<std::string> names(int count) {
    std::vector<std::string> out;
    for (int at = 0; at < count; ++at)
        out.push_back("edge-" + std::to_string(at));
    return out;
}

std::vector<std::string> without(std::vector<std::string> all, const std::string& one) {
    std::erase(all, one);
    return all;
}

TEST(tell_period_of, a_small_fleet_is_five_times_a_second) {
    EXPECT_EQ(announcement_period(5), 200ms);
}

TEST(tell_period_of, a_large_fleet_is_longer_but_two_messages_may_be_lost) {
    EXPECT_GT(announcement_period(25), 200ms);
    for (const std::size_t members : {1U, 25U, 31U, 300U})
        EXPECT_LT(2 * announcement_period(members), contact_limit);
}

RC_GTEST_PROP(informants_of, an_asker_are_one_or_two_if_all_see_the_same, ()) {
    const auto all = names(*rc::gen::inRange(1, 40));
    const std::string asker = "cut-" + std::to_string(*rc::gen::inRange(0, 1'000));
    int count = 0;
    for (const std::string& self : all)
        count += is_informant(self, asker, without(all, self)) ? 1 : 0;
    RC_ASSERT(count == std::min(2, static_cast<int>(all.size())));
}

RC_GTEST_PROP(informants_of, an_asker_are_never_none_where_views_differ, ()) {
    const auto all = names(*rc::gen::inRange(1, 20));
    int count = 0;
    for (const std::string& self : all) {
        std::vector<std::string> seen;
        for (const std::string& other : without(all, self))
            if (*rc::gen::arbitrary<bool>())
                seen.push_back(other);
        count += is_informant(self, "asker", seen) ? 1 : 0;
    }
    RC_ASSERT(count >= 1);
}

TEST(news_of, a_target_is_told_at_once_and_again_for_half_a_second) {
    announcement_schedule all{1'000ms};
    const time_point start{10s};
    EXPECT_TRUE(all.due("t", 1, start));
    EXPECT_TRUE(all.due("t", 1, start + 200ms));
    EXPECT_FALSE(all.due("t", 1, start + 800ms));
    EXPECT_TRUE(all.due("t", 2, start + 900ms)) << "it changed";
}

TEST(news_of, an_unchanged_target_is_told_again_often_enough_to_be_believed) {
    announcement_schedule all{1'000ms};
    time_point last{10s};
    int told = 0;
    for (time_point at{10s}; at < time_point{30s}; at += 200ms) {
        if (!all.due("t", 1, at))
            continue;
        ++told;
        EXPECT_LE(2 * (at - last), fleet::description_term) << "one message may be lost";
        last = at;
    }
    EXPECT_LE(told, 25) << "of 100 messages";
}

TEST(news_of, a_target_that_was_forgotten_is_new_again) {
    announcement_schedule all{1'000ms};
    EXPECT_TRUE(all.due("t", 1, time_point{10s}));
    all.forget_old(time_point{30s});
    EXPECT_TRUE(all.due("t", 1, time_point{31s}));
    EXPECT_TRUE(all.due("t", 1, time_point{31s} + 200ms)) << "told several times, as any new one";
}

} // namespace
