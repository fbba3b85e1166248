// Turns to send prompts: order and spacing by the scheduler, a scheduler that does not answer, and the effect
// on callers in a simulation.
#include "core/dispatch/prompt_turns.hpp"
#include "simulation/reading.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

using namespace waxwinglb;
using namespace std::chrono_literals;
using core::common::time_point;
using core::dispatch::scheduler_of;
using core::dispatch::turn_client;
using core::dispatch::turn_scheduler;

namespace {

constexpr time_point now{100s};
constexpr core::dispatch::turn_pace pace{10, 0}; // prompt tokens a ms

std::string grant_next(turn_scheduler& scheduler, time_point at) {
    const auto turn = scheduler.next(pace, at);
    return turn ? turn->gateway : "none";
}

} // namespace

TEST(turn_scheduler, spaces_turns_by_the_time_to_read_each_prompt) {
    turn_scheduler scheduler;
    EXPECT_EQ(scheduler.ask({"a", 1}, 1'000, pace, now), 0ms);
    EXPECT_EQ(grant_next(scheduler, now), "a");
    EXPECT_EQ(scheduler.ask({"b", 1}, 500, pace, now), 100ms);
    EXPECT_EQ(scheduler.ask({"c", 1}, 100, pace, now), 150ms) << "behind b's prompt as well";
    EXPECT_EQ(grant_next(scheduler, now + 99ms), "none");
    EXPECT_EQ(grant_next(scheduler, now + 100ms), "b");
    EXPECT_EQ(grant_next(scheduler, now + 149ms), "none");
    EXPECT_EQ(grant_next(scheduler, now + 150ms), "c");
    EXPECT_EQ(grant_next(scheduler, now + 10s), "none");
}

TEST(turn_scheduler, a_newer_request_of_a_gateway_keeps_the_place_of_the_older) {
    turn_scheduler scheduler;
    scheduler.ask({"x", 1}, 1'000, pace, now);
    scheduler.next(pace, now);
    scheduler.ask({"a", 1}, 400, pace, now);
    scheduler.ask({"b", 1}, 400, pace, now);
    scheduler.ask({"a", 2}, 400, pace, now); // its first request or the answer may have been lost
    const auto first = scheduler.next(pace, now + 100ms);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->gateway, "a");
    EXPECT_EQ(first->number, 2);
    EXPECT_EQ(grant_next(scheduler, now + 140ms), "b");
    EXPECT_FALSE(scheduler.has_requests());
}

TEST(turn_scheduler, spaces_by_the_tokens_sent_rather_than_those_requested) {
    turn_scheduler scheduler;
    scheduler.ask({"a", 1}, 1'000, pace, now);
    scheduler.next(pace, now);
    scheduler.ask({"b", 1}, 1'000, pace, now);
    scheduler.sent({"a", 1}, 3'000, pace);
    EXPECT_EQ(grant_next(scheduler, now + 299ms), "none");
    EXPECT_EQ(grant_next(scheduler, now + 300ms), "b");
    scheduler.ask({"a", 2}, 1'000, pace, now + 300ms);
    scheduler.sent({"b", 1}, 0, pace);
    EXPECT_EQ(grant_next(scheduler, now + 300ms), "a") << "an unused turn delays no other";
    scheduler.ask({"b", 2}, 1'000, pace, now + 300ms);
    scheduler.sent({"b", 1}, 0, pace); // too late: a's turn has begun
    EXPECT_EQ(grant_next(scheduler, now + 399ms), "none");
}

TEST(turn_scheduler, grants_turns_at_once_after_spacing_was_switched_off) {
    turn_scheduler scheduler;
    scheduler.ask({"a", 1}, 1'000, pace, now);
    EXPECT_EQ(grant_next(scheduler, now), "a");
    scheduler.ask({"b", 1}, 1'000, {}, now);
    scheduler.sent({"a", 1}, 2'000, {});
    const auto turn = scheduler.next({}, now);
    ASSERT_TRUE(turn.has_value());
    EXPECT_EQ(turn->gateway, "b");
    EXPECT_EQ(scheduler.due_at({}, now), now);
}

TEST(turn_client, sends_without_a_turn_if_the_scheduler_does_not_answer) {
    turn_client client;
    EXPECT_EQ(client.next(now), turn_client::step::ask);
    client.ask(1'000, now);
    EXPECT_EQ(client.next(now + 39ms), turn_client::step::wait);
    EXPECT_EQ(client.next(now + 40ms), turn_client::step::send);
    EXPECT_FALSE(client.has_turn());
    EXPECT_EQ(client.sent(1'000), std::nullopt) << "no turn was granted";
    EXPECT_EQ(client.next(now + 41ms), turn_client::step::ask);
}

TEST(turn_client, requests_again_if_the_expected_turn_does_not_come) {
    turn_client client;
    const auto number = client.ask(1'000, now);
    client.queued(number, 300ms, now + 3ms);
    EXPECT_TRUE(client.is_queued(now + 3ms));
    EXPECT_EQ(client.next(now + 300ms), turn_client::step::wait);
    EXPECT_EQ(client.next(client.look_again()), turn_client::step::ask);
    const auto second = client.ask(1'000, now + 1s);
    client.given(number); // grant of the first request, late: the second request replaced it
    EXPECT_EQ(client.next(now + 1s), turn_client::step::wait);
    client.given(second);
    EXPECT_EQ(client.next(now + 1s), turn_client::step::send);
}

TEST(turn_client, reports_the_tokens_sent_only_if_they_differ_from_those_requested) {
    turn_client client;
    client.given(client.ask(1'000, now));
    EXPECT_EQ(client.sent(1'000), std::nullopt);
    const auto number = client.ask(1'000, now);
    client.given(number);
    EXPECT_EQ(client.sent(1'200), number);
    client.given(number); // duplicate
    EXPECT_FALSE(client.has_turn());
}

TEST(scheduler_of, is_the_same_at_all_gateways_and_changes_for_few_targets) {
    const std::vector<std::string> all{"g1", "g2", "g3", "g4", "g5"};
    const std::vector<std::string> other_order{"g5", "g3", "g1", "g4", "g2"};
    const std::vector<std::string> without_one{"g1", "g2", "g4", "g5"};
    std::set<std::string> schedulers;
    for (int i = 0; i < 50; ++i) {
        const std::string target = "t" + std::to_string(i);
        const std::string scheduler = scheduler_of(target, all);
        schedulers.insert(scheduler);
        EXPECT_EQ(scheduler_of(target, other_order), scheduler);
        if (scheduler == "g3")
            continue;
        EXPECT_EQ(scheduler_of(target, without_one), scheduler);
    }
    EXPECT_EQ(schedulers.size(), all.size());
    EXPECT_EQ(scheduler_of("t", {}), "");
}

// In whatever order gateways request, abandon and request again, the target never gets more prompt tokens
// than it can have read, plus one prompt.
RC_GTEST_PROP(turn_scheduler, never_grants_more_prompt_tokens_than_the_target_can_read, ()) {
    turn_scheduler scheduler;
    std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
    const auto pick = [&](int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); };
    time_point at = now;
    double sent = 0;
    int largest = 0;
    std::int64_t number = 0;
    for (int i = 0; i < 400; ++i) {
        at += std::chrono::milliseconds{pick(60)};
        scheduler.ask({"g" + std::to_string(pick(4)), ++number}, 1 + pick(3'000), pace, at);
        const auto turn = scheduler.next(pace, at);
        if (!turn)
            continue;
        const int tokens = pick(3'000);
        scheduler.sent(*turn, tokens, pace);
        sent += tokens;
        largest = std::max(largest, tokens);
        const double ms = std::chrono::duration<double, std::milli>(at - now).count();
        RC_ASSERT(sent <= ms * pace.tokens_per_ms + largest + 1);
    }
}

// Without turns, a sixth of a busy model's streams on the users' days paused for longer than their limit.
TEST(turn_simulation, turns_prevent_pauses_in_streams_of_a_busy_model) {
    simulation::reading_load load;
    load.arrivals_per_s = 12; // an engine can read 15 of these prompts a second
    simulation::reading_result without;
    simulation::reading_result with;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto add = [](simulation::reading_result& to, const simulation::reading_result& more) {
            to.asked += more.asked;
            to.on_time += more.on_time;
            to.paused += more.paused;
        };
        add(without, simulation::reading_run<simulation::own_window>{load, seed,
                                                                     [] { return simulation::own_window{}; }}
                         .run());
        const auto exchange = std::make_shared<simulation::turn_taking::exchange>();
        add(with,
            simulation::reading_run<simulation::turn_taking>{
                load, seed, [&] { return simulation::turn_taking{exchange}; }}
                .run());
    }
    EXPECT_GT(without.paused * 2, without.asked) << "without turns, this load must cause pauses";
    EXPECT_LT(with.paused * 20, with.asked);
    EXPECT_GT(with.on_time, 3 * without.on_time);
}

TEST(turn_simulation, turns_refuse_and_delay_nothing_under_low_load) {
    simulation::reading_load load;
    load.arrivals_per_s = 2;
    const auto exchange = std::make_shared<simulation::turn_taking::exchange>();
    const auto with = simulation::reading_run<simulation::turn_taking>{
        load, 1, [&] {
            return simulation::turn_taking{exchange};
        }}.run();
    EXPECT_EQ(with.late_first, 0);
    EXPECT_EQ(with.refused, 0);
}
