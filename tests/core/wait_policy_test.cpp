// How long requests wait and when callers are told to come back.
#include "core/dispatch/wait_policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using dispatch::decide_wait;
using dispatch::obstacle;

namespace {

constexpr time_point now{100s};

dispatch::wait_context facts(common::milliseconds left, common::milliseconds aim = 1'000ms) {
    return {now, now, now + left, aim, std::nullopt, 0};
}

} // namespace

TEST(wait_policy, what_is_known_to_come_too_late_is_refused_at_once) {
    auto one = facts(8'000ms);
    one.model_ready = now + 6s; // 4.8 s are left for a start
    for (const obstacle why : {obstacle::loading, obstacle::no_model}) {
        const auto out = decide_wait(why, one, now);
        EXPECT_LE(out.until, now);
        EXPECT_EQ(out.retry_after, 6s);
    }
}

TEST(wait_policy, a_model_that_is_ready_in_time_is_waited_for) {
    auto one = facts(25'000ms, 2'500ms);
    one.model_ready = now + 6s;
    EXPECT_EQ(decide_wait(obstacle::loading, one, now).until, now + 15s);
}

TEST(wait_policy, a_full_fleet_is_waited_for_no_longer_than_an_answer_would_be_on_time) {
    EXPECT_EQ(decide_wait(obstacle::full, facts(12'000ms, 800ms), now).until, now + 800ms);
    EXPECT_EQ(decide_wait(obstacle::no_target, facts(12'000ms, 800ms), now).until, now + 500ms);
    EXPECT_EQ(decide_wait(obstacle::full, facts(300ms, 800ms), now).until, now + 300ms);
}

TEST(wait_policy, those_refused_together_do_not_return_together) {
    std::set<common::duration> returns;
    for (std::uint64_t number = 0; number < 16; ++number) {
        auto one = facts(12'000ms);
        one.number = number;
        returns.insert(decide_wait(obstacle::full, one, now).retry_after);
    }
    EXPECT_EQ(returns.size(), 16U);
}

RC_GTEST_PROP(wait_policy, nobody_waits_beyond_the_deadline_or_is_told_to_return_at_once,
              (std::uint16_t left, std::uint16_t aim, std::uint16_t ready, std::uint8_t why)) {
    auto one = facts(std::chrono::milliseconds{left}, std::chrono::milliseconds{aim});
    one.model_ready = now + std::chrono::milliseconds{ready};
    const auto out = decide_wait(static_cast<obstacle>(1 + why % 7), one, now);
    RC_ASSERT(out.until <= one.deadline || out.until <= now);
    RC_ASSERT(out.retry_after >= 200ms);
}

TEST(earliest_ready, a_load_under_way_and_the_nearest_copy_count) {
    fleet::model_spec model;
    model.name = "m";
    model.store_load = 6'000ms;
    model.disk_load = 800ms;
    model.memory_load = 600ms;
    fleet::target first;
    fleet::target second;
    std::vector<dispatch::candidate> all(2);
    all[0].target = &first;
    all[1].target = &second;
    EXPECT_EQ(dispatch::earliest_ready(all, model, now), now + 6s);
    first.entry.copies_on_disk = {"m"};
    EXPECT_EQ(dispatch::earliest_ready(all, model, now), now + 800ms);
    second.coming["m"] = now + 100ms;
    EXPECT_EQ(dispatch::earliest_ready(all, model, now), now + 100ms);
    second.told_leaving = true;
    first.told_leaving = true;
    EXPECT_FALSE(dispatch::earliest_ready(all, model, now).has_value());
}
