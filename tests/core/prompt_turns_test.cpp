// Turns to send prompts: the keeper's order and spacing, a keeper that is silent, and what callers get.
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
constexpr double pace = 10; // prompt tokens a ms

std::string given(turn_scheduler& by, time_point at) {
    const auto turn = by.next(pace, at);
    return turn ? turn->gateway : "none";
}

} // namespace

TEST(turn_scheduler, spaces_turns_by_what_the_target_reads) {
    turn_scheduler one;
    EXPECT_EQ(one.ask({"a", 1}, 1'000, pace, now), 0ms);
    EXPECT_EQ(given(one, now), "a");
    EXPECT_EQ(one.ask({"b", 1}, 500, pace, now), 100ms);
    EXPECT_EQ(one.ask({"c", 1}, 100, pace, now), 150ms) << "behind b's prompt as well";
    EXPECT_EQ(given(one, now + 99ms), "none");
    EXPECT_EQ(given(one, now + 100ms), "b");
    EXPECT_EQ(given(one, now + 149ms), "none");
    EXPECT_EQ(given(one, now + 150ms), "c");
    EXPECT_EQ(given(one, now + 10s), "none");
}

TEST(turn_scheduler, a_gateway_has_one_question_at_a_time_and_keeps_its_place) {
    turn_scheduler one;
    one.ask({"x", 1}, 1'000, pace, now);
    one.next(pace, now);
    one.ask({"a", 1}, 400, pace, now);
    one.ask({"b", 1}, 400, pace, now);
    one.ask({"a", 2}, 400, pace, now); // its first question, or the answer, seemed lost
    const auto first = one.next(pace, now + 100ms);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->gateway, "a");
    EXPECT_EQ(first->number, 2);
    EXPECT_EQ(given(one, now + 140ms), "b");
    EXPECT_FALSE(one.has_requests());
}

TEST(turn_scheduler, goes_by_what_was_sent_in_a_turn) {
    turn_scheduler one;
    one.ask({"a", 1}, 1'000, pace, now);
    one.next(pace, now);
    one.ask({"b", 1}, 1'000, pace, now);
    one.sent({"a", 1}, 3'000, pace);
    EXPECT_EQ(given(one, now + 299ms), "none");
    EXPECT_EQ(given(one, now + 300ms), "b");
    one.ask({"a", 2}, 1'000, pace, now + 300ms);
    one.sent({"b", 1}, 0, pace);
    EXPECT_EQ(given(one, now + 300ms), "a") << "a turn that was not used holds up nobody";
    one.ask({"b", 2}, 1'000, pace, now + 300ms);
    one.sent({"b", 1}, 0, pace); // told late: a's turn is under way
    EXPECT_EQ(given(one, now + 399ms), "none");
}

TEST(turn_scheduler, gives_turns_at_once_when_they_are_not_spaced_any_more) {
    turn_scheduler one;
    one.ask({"a", 1}, 1'000, pace, now);
    EXPECT_EQ(given(one, now), "a");
    one.ask({"b", 1}, 1'000, 0, now);
    one.sent({"a", 1}, 2'000, 0);
    const auto turn = one.next(0, now);
    ASSERT_TRUE(turn.has_value());
    EXPECT_EQ(turn->gateway, "b");
    EXPECT_EQ(one.free_at(), now);
}

TEST(turn_client, a_silent_keeper_is_not_waited_for) {
    turn_client one;
    EXPECT_EQ(one.next(now), turn_client::step::ask);
    one.ask(1'000, now);
    EXPECT_EQ(one.next(now + 39ms), turn_client::step::wait);
    EXPECT_EQ(one.next(now + 40ms), turn_client::step::send);
    EXPECT_FALSE(one.has_turn());
    EXPECT_EQ(one.sent(1'000), std::nullopt) << "the keeper gave nothing";
    EXPECT_EQ(one.next(now + 41ms), turn_client::step::ask);
}

TEST(turn_client, asks_anew_if_the_turn_that_was_foretold_does_not_come) {
    turn_client one;
    const auto number = one.ask(1'000, now);
    one.queued(number, 300ms, now + 3ms);
    EXPECT_TRUE(one.is_queued(now + 3ms));
    EXPECT_EQ(one.next(now + 300ms), turn_client::step::wait);
    EXPECT_EQ(one.next(one.look_again()), turn_client::step::ask);
    const auto second = one.ask(1'000, now + 1s);
    one.given(number); // the first question's, late: it was answered by the second
    EXPECT_EQ(one.next(now + 1s), turn_client::step::wait);
    one.given(second);
    EXPECT_EQ(one.next(now + 1s), turn_client::step::send);
}

TEST(turn_client, tells_what_it_sent_only_if_that_is_not_what_it_asked_for) {
    turn_client one;
    one.given(one.ask(1'000, now));
    EXPECT_EQ(one.sent(1'000), std::nullopt);
    const auto number = one.ask(1'000, now);
    one.given(number);
    EXPECT_EQ(one.sent(1'200), number);
    one.given(number); // doubled
    EXPECT_FALSE(one.has_turn());
}

TEST(scheduler_of, is_the_same_for_everybody_and_moves_little) {
    const std::vector<std::string> all{"g1", "g2", "g3", "g4", "g5"};
    const std::vector<std::string> other_order{"g5", "g3", "g1", "g4", "g2"};
    const std::vector<std::string> without_one{"g1", "g2", "g4", "g5"};
    std::set<std::string> keepers;
    for (int i = 0; i < 50; ++i) {
        const std::string target = "t" + std::to_string(i);
        const std::string keeper = scheduler_of(target, all);
        keepers.insert(keeper);
        EXPECT_EQ(scheduler_of(target, other_order), keeper);
        if (keeper == "g3")
            continue;
        EXPECT_EQ(scheduler_of(target, without_one), keeper);
    }
    EXPECT_EQ(keepers.size(), all.size());
    EXPECT_EQ(scheduler_of("t", {}), "");
}

// However gateways ask, give up and ask again: the target never gets more than it reads and one prompt.
RC_GTEST_PROP(turn_scheduler, never_more_prompt_tokens_than_the_target_reads, ()) {
    turn_scheduler one;
    std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
    const auto pick = [&](int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); };
    time_point at = now;
    double sent = 0;
    int largest = 0;
    std::int64_t number = 0;
    for (int i = 0; i < 400; ++i) {
        at += std::chrono::milliseconds{pick(60)};
        one.ask({"g" + std::to_string(pick(4)), ++number}, 1 + pick(3'000), pace, at);
        const auto turn = one.next(pace, at);
        if (!turn)
            continue;
        const int tokens = pick(3'000);
        one.sent(*turn, tokens, pace);
        sent += tokens;
        largest = std::max(largest, tokens);
        const double ms = std::chrono::duration<double, std::milli>(at - now).count();
        RC_ASSERT(sent <= ms * pace + largest + 1);
    }
}

// On the users' days a sixth of the streams of a busy model paused for longer than is on time.
TEST(reading_turns, keep_streams_of_a_busy_model_flowing) {
    simulation::reading_load load;
    load.arrivals_per_s = 12; // an engine reads 15 of these a second
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
    EXPECT_GT(without.paused * 2, without.asked) << "the load must be one that needs turns";
    EXPECT_LT(with.paused * 20, with.asked);
    EXPECT_GT(with.on_time, 3 * without.on_time);
}

TEST(reading_turns, change_little_where_little_is_asked) {
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
