// How long requests wait for a target, and the retry delay that refused callers get.
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

dispatch::wait_context context_with(common::milliseconds left, common::milliseconds aim = 1'000ms) {
    return {now, now, now + left, aim, std::nullopt, std::nullopt, 0};
}

} // namespace

TEST(wait_policy, a_request_whose_model_loads_too_late_is_refused_at_once) {
    auto context = context_with(8'000ms);
    context.model_ready = now + 6s; // it can be sent 4.8 s from now at the latest
    for (const obstacle why : {obstacle::loading, obstacle::no_model}) {
        const auto decision = decide_wait(why, context, now);
        EXPECT_LE(decision.until, now);
        EXPECT_EQ(decision.retry_after, 6s);
    }
}

TEST(wait_policy, a_request_waits_for_a_model_that_loads_in_time) {
    auto context = context_with(25'000ms, 2'500ms);
    context.model_ready = now + 6s;
    EXPECT_EQ(decide_wait(obstacle::loading, context, now).until, now + 15s);
}

TEST(wait_policy, a_request_waits_for_a_full_fleet_only_while_its_answer_can_be_on_time) {
    EXPECT_EQ(decide_wait(obstacle::full, context_with(12'000ms, 800ms), now).until, now + 800ms);
    EXPECT_EQ(decide_wait(obstacle::no_target, context_with(12'000ms, 800ms), now).until, now + 500ms);
    EXPECT_EQ(decide_wait(obstacle::full, context_with(300ms, 800ms), now).until, now + 300ms);
}

// Targets under more load than they bear ask for some time without requests.
TEST(wait_policy, a_request_whose_targets_are_paused_waits_only_while_its_answer_can_be_on_time) {
    struct fault_case {
        const char* name;
        common::milliseconds pause;
        bool waits;
        common::milliseconds least_retry_after;
    };
    for (const fault_case& each : {fault_case{"ends within the aim", 500ms, true, 500ms},
                                   fault_case{"ends too late", 900ms, false, 900ms},
                                   fault_case{"is long", 60'000ms, false, 60'000ms}}) {
        auto context = context_with(12'000ms, 800ms);
        context.back_at = now + each.pause;
        const auto decision = decide_wait(obstacle::paused, context, now);
        EXPECT_EQ(decision.until > now, each.waits) << each.name;
        EXPECT_GE(decision.retry_after, each.least_retry_after) << each.name;
        EXPECT_LT(decision.retry_after, each.least_retry_after + 500ms) << each.name;
    }
}

TEST(wait_policy, requests_refused_together_get_different_retry_delays) {
    std::set<common::duration> delays;
    for (std::uint64_t number = 0; number < 16; ++number) {
        auto context = context_with(12'000ms);
        context.number = number;
        delays.insert(decide_wait(obstacle::full, context, now).retry_after);
    }
    EXPECT_EQ(delays.size(), 16U);
}

RC_GTEST_PROP(wait_policy, no_wait_exceeds_the_deadline_and_no_retry_delay_is_below_the_minimum,
              (std::uint16_t left, std::uint16_t aim, std::uint16_t ready, std::uint8_t why)) {
    auto context = context_with(std::chrono::milliseconds{left}, std::chrono::milliseconds{aim});
    context.model_ready = now + std::chrono::milliseconds{ready};
    const auto decision = decide_wait(static_cast<obstacle>(1 + why % 9), context, now);
    RC_ASSERT(decision.until <= context.deadline || decision.until <= now);
    RC_ASSERT(decision.retry_after >= 200ms);
}

TEST(earliest_ready, takes_the_earlier_of_a_running_load_and_a_load_from_the_nearest_copy) {
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
    second.departed = true;
    first.departed = true;
    EXPECT_FALSE(dispatch::earliest_ready(all, model, now).has_value());
}
