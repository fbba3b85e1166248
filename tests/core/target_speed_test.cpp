// Learning of targets' speeds, and what callers get from a choice by speed in a small model of engines.
#include "core/common/hash.hpp"
#include "core/target_speed/speeds.hpp"
#include "target_speed_model.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <numeric>

using namespace waxwinglb;
using namespace std::chrono_literals;
using core::target_speed::speeds;
using tests::engine_fleet_model;
using tests::model_options;
using tests::model_result;

namespace {

constexpr core::common::time_point start{100s};
const std::string service = "s";

core::fleet::target_start target(int number, std::int64_t born = 1) {
    return {"t" + std::to_string(number), born};
}

double lasting(const speeds& in, const core::fleet::target_start& of) {
    return in.lasting(of.id, of.born);
}

double momentary(const speeds& in, const core::fleet::target_start& of, core::common::time_point now) {
    return in.of(of.id, of.born, now).momentary;
}

/// Samples of targets with these speeds, each at several loads; slower ones run fewer requests.
void learn(speeds& in, const std::vector<double>& true_speeds, core::common::time_point now,
           int samples = 40) {
    for (std::size_t i = 0; i < true_speeds.size(); ++i)
        for (int k = 0; k < samples; ++k) {
            const int load = static_cast<int>(20 * true_speeds[i]) + k % 9;
            const double ms = 4 * (8.9 + 0.034 * load) / true_speeds[i];
            in.note_sample(target(static_cast<int>(i)), service,
                           std::chrono::microseconds{static_cast<std::int64_t>(1'000 * ms)}, load, now);
        }
    in.update(now);
}

/// Engines of three speeds, four of each.
model_options three_speeds(bool learns) {
    model_options out;
    for (int i = 0; i < 4; ++i)
        out.speeds.insert(out.speeds.end(), {0.6, 1.0, 1.6});
    out.gateways = 26;
    out.learns = learns;
    out.per_second = 160; // the most that the engines serve on time
    return out;
}

/// What engines of one of the three speeds served.
model_result::counts of_speed(const model_result& from, std::size_t which) {
    model_result::counts out;
    for (std::size_t i = which; i < from.by_engine.size(); i += 3) {
        out.requests += from.by_engine[i].requests;
        out.on_time += from.by_engine[i].on_time;
    }
    return out;
}

/// Work at one engine that jumps every 50 ms, from a third to three times as long as usual.
double jumping_work(int engine, double ms) {
    const auto slice = static_cast<std::uint64_t>(ms / 50);
    const auto hash = core::common::hash_of(std::to_string(engine), slice);
    const double exponent = static_cast<double>(hash % 2'001) / 1'000 - 1; // -1 to 1
    return std::pow(3.0, exponent) / 1.21;                                 // the mean of the work is 1
}

} // namespace

TEST(target_speed, lasting_speeds_are_learned_from_pauses_and_bounded) {
    speeds known;
    learn(known, {0.6, 1.0, 1.0, 1.0, 1.6, 0.1, 9.0}, start);
    EXPECT_NEAR(lasting(known, target(0)), 0.6, 0.06);
    EXPECT_NEAR(lasting(known, target(1)), 1.0, 0.05);
    EXPECT_NEAR(lasting(known, target(4)), 1.6, 0.16);
    EXPECT_GE(lasting(known, target(5)), core::target_speed::min_speed);
    EXPECT_LE(lasting(known, target(6)), core::target_speed::max_speed);
    EXPECT_EQ(lasting(known, target(77)), 1) << "not known";
}

TEST(target_speed, a_target_counts_as_usual_until_there_are_enough_samples) {
    speeds known;
    learn(known, {0.6, 1.0, 1.6}, start, core::target_speed::min_samples - 1);
    EXPECT_EQ(lasting(known, target(0)), 1);
    EXPECT_EQ(lasting(known, target(2)), 1);
}

TEST(target_speed, few_very_long_pauses_do_not_make_a_target_slow) {
    speeds known;
    learn(known, {1.0, 1.0, 1.0}, start);
    for (int k = 0; k < 2; ++k)
        known.note_sample(target(0), service, 30s, 20, start);
    known.update(start + 1s);
    EXPECT_GT(lasting(known, target(0)), 0.85);
}

// A plain service whose calls take from 5 ms to 200 ms, whatever the target.
TEST(target_speed, times_that_differ_from_call_to_call_make_no_target_fast_or_slow) {
    speeds known;
    std::mt19937 random{20261203};
    std::lognormal_distribution<double> ms{3.5, 1.0};
    for (int k = 0; k < 60; ++k)
        for (int i = 0; i < 40; ++i)
            known.note_sample(target(i), service,
                              std::chrono::microseconds{static_cast<std::int64_t>(1'000 * ms(random))}, 2,
                              start);
    known.update(start);
    double squares = 0;
    for (int i = 0; i < 40; ++i) {
        EXPECT_NEAR(lasting(known, target(i)), 1, 0.3) << i; // with 4 samples counting half: 0.49 for one
        squares += std::pow(lasting(known, target(i)) - 1, 2);
    }
    EXPECT_LT(std::sqrt(squares / 40), 0.12);
}

TEST(target_speed, another_start_of_a_target_has_its_own_speed) {
    speeds known;
    learn(known, {0.6, 1.0, 1.6}, start);
    EXPECT_EQ(lasting(known, target(0, 2)), 1);
    known.note_sample(target(0, 2), service, 30ms, 10, start);
    EXPECT_EQ(lasting(known, target(0, 2)), 1);
    known.note_sample(target(0, 1), service, 90ms, 10, start); // an answer of the earlier start ends late
    EXPECT_EQ(lasting(known, target(0, 1)), 1) << "the later start isn't forgotten for it";
}

TEST(target_speed, what_peers_tell_counts_by_its_samples_and_fades) {
    speeds known;
    EXPECT_TRUE(known.note_reported({target(0), 0.5, 64}, start));
    EXPECT_TRUE(known.note_reported({target(0), 2.0, 4}, start));
    known.update(start);
    EXPECT_NEAR(lasting(known, target(0)), 0.55, 0.06);
    for (int second = 60; second < 70; ++second)
        known.note_reported({target(0), 1.5, 64}, start + std::chrono::seconds{second});
    known.update(start + 70s);
    EXPECT_NEAR(lasting(known, target(0)), 1.5, 0.1);
}

TEST(target_speed, malformed_speeds_of_peers_have_no_effect) {
    speeds known;
    for (const double odd :
         {0.0, -1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()})
        EXPECT_FALSE(known.note_reported({target(0), odd, 64}, start)) << odd;
    EXPECT_FALSE(known.note_reported({target(0), 0.5, -1}, start));
    EXPECT_TRUE(known.note_reported({target(1), 1e300, 2'000'000'000}, start));
    known.update(start);
    EXPECT_EQ(lasting(known, target(0)), 1);
    EXPECT_LE(lasting(known, target(1)), core::target_speed::max_speed);
}

TEST(target_speed, peers_are_told_in_turns_what_was_learned_where_targets_state_their_load) {
    speeds known;
    learn(known, {0.6, 1.0, 1.6}, start);
    EXPECT_TRUE(known.next_to_report(10, start).empty()) << "no target states its load";
    for (int i = 0; i < 3; ++i)
        known.note_figure(target(i), service, std::nullopt, start);
    const auto first = known.next_to_report(2, start);
    ASSERT_EQ(first.size(), 2U);
    const auto second = known.next_to_report(2, start);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NEAR(second[0].speed, 1.6, 0.16);
    EXPECT_TRUE(known.next_to_report(2, start).empty()) << "all are reported";
    EXPECT_TRUE(known.next_to_report(2, start + 10s).empty()) << "nothing was learned since";
}

TEST(target_speed, a_figure_counts_while_fresh_and_against_the_targets_usual_one) {
    speeds known;
    for (int k = 0; k < 200; ++k)
        known.note_figure(target(0), service, k % 2 == 0 ? 50.0 : 200.0, start);
    known.note_figure(target(0), service, 50.0, start);
    EXPECT_GT(momentary(known, target(0), start), 1.1);
    EXPECT_LT(momentary(known, target(0), start), 1.4) << "it may be another when the request arrives";
    EXPECT_EQ(momentary(known, target(0), start + core::target_speed::figure_age), 1);
    for (int k = 0; k < 200; ++k)
        known.note_figure(target(1), service, 0.001, start);
    EXPECT_NEAR(momentary(known, target(1), start), 1, 0.01) << "always the same figure: nothing is gained";
}

TEST(target_speed, a_notable_change_is_named_once) {
    speeds known;
    learn(known, {1.0, 1.0, 1.0, 0.5}, start);
    EXPECT_TRUE(known.update(start + 1s).empty());
    speeds fresh;
    for (int k = 0; k < 40; ++k)
        for (int i = 0; i < 3; ++i)
            fresh.note_sample(target(i), service, i == 0 ? 80ms : 40ms, 10, start);
    const auto changes = fresh.update(start);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].target, target(0));
    EXPECT_NEAR(changes[0].now, 0.5, 0.06);
}

TEST(target_speed, a_pace_is_the_time_for_each_event_also_if_some_arrive_together) {
    core::target_speed::pace_meter meter;
    EXPECT_FALSE(meter.add(1, start));
    EXPECT_FALSE(meter.add(4, start + 160ms));
    EXPECT_EQ(meter.add(4, start + 320ms), 40ms);
    meter.restart();
    EXPECT_FALSE(meter.add(30, start + 10s)) << "the pause before was not the target's";
    EXPECT_EQ(meter.add(10, start + 11s), 100ms);
}

// Today's choice serves 41 % of the requests at the slow engines on time in this model, and 83 % of all.
TEST(target_speed_choice, engines_of_speeds_0_6_1_and_1_6_serve_a_load_that_just_fits_on_time) {
    const auto result = engine_fleet_model{three_speeds(true)}.run();
    EXPECT_GT(result.all.share(), 0.90);
    for (const std::size_t which : {0U, 1U, 2U}) {
        EXPECT_GT(of_speed(result, which).share(), 0.80) << which;
        EXPECT_GT(of_speed(result, which).requests, 300) << "no engine is left out";
    }
    const auto before = engine_fleet_model{three_speeds(false)}.run();
    EXPECT_LT(of_speed(before, 0).share(), 0.60) << "the model shows no fault that the choice could avoid";
}

TEST(target_speed_choice, a_figure_that_jumps_20_times_a_second_and_is_read_200_ms_late_does_no_harm) {
    const auto run = [](bool learns, bool states) {
        auto options = three_speeds(learns);
        options.per_second = 120;
        options.work = jumping_work;
        if (states)
            options.stated = [](int engine, double ms) {
                return std::optional<double>{100 * jumping_work(engine, ms)};
            };
        options.figure_delay_ms = 200;
        return engine_fleet_model{options}.run();
    };
    const auto result = run(true, true);
    const auto without_figure = run(true, false);
    EXPECT_GT(result.all.share(), without_figure.all.share() - 0.02);
    for (const std::size_t which : {0U, 1U, 2U})
        EXPECT_GT(of_speed(result, which).share(), 0.75) << which;
    EXPECT_LT(of_speed(run(false, true), 0).share(), 0.65);
}

// The false figure says four times as fast as usual, of an engine that is one of the slow ones; first always,
// then only half of the time, so that it stands out against the engine's usual figure.
TEST(target_speed_choice, an_engine_that_states_false_figures_costs_only_its_own_share) {
    const auto truthful = engine_fleet_model{three_speeds(true)}.run();
    for (const bool jumps : {false, true}) {
        auto options = three_speeds(true);
        options.stated = [jumps](int engine, double ms) {
            const bool lies = engine == 0 && (!jumps || static_cast<int>(ms / 300) % 2 == 0);
            return std::optional<double>{lies ? 10.0 : 100.0};
        };
        const auto result = engine_fleet_model{options}.run();
        const int others_of_its_speed = (of_speed(result, 0).requests - result.by_engine[0].requests) / 3;
        EXPECT_LT(result.by_engine[0].requests, 1.35 * others_of_its_speed);
        model_result::counts others = result.all;
        others.requests -= result.by_engine[0].requests;
        others.on_time -= result.by_engine[0].on_time;
        EXPECT_GT(others.share(), truthful.all.share() - 0.03);
        EXPECT_GT(of_speed(result, 0).share(), 0.75) << "today's choice: 0.41";
    }
}

namespace {

/// Requests at each of 48 engines after each of 30 gateways has sent `each` requests by the same figures: the
/// first four engines have 10 running, the others 20.
std::vector<int> choices_at_once(int each, bool spreads) {
    constexpr int engines = 48;
    constexpr int gateways = 30;
    std::vector<core::fleet::target> targets(engines);
    std::vector<int> loads(engines, 20);
    std::fill_n(loads.begin(), 4, 10);
    std::vector<int> sent(engines, 0);
    for (int g = 0; g < gateways; ++g) {
        std::vector<core::dispatch::candidate> seen(engines);
        for (std::size_t i = 0; i < engines; ++i) {
            targets[i].entry.id = "t" + std::to_string(i);
            seen[i].target = &targets[i];
            seen[i].load = loads[i];
            seen[i].limit = 48;
            seen[i].near = true;
        }
        for (int k = 0; k < each; ++k) {
            core::dispatch::target_criteria criteria;
            criteria.spread.active = spreads;
            criteria.spread.salt =
                core::common::hash_of("r" + std::to_string(k), static_cast<std::uint64_t>(g));
            criteria.spread.unseen = (1 + k) * (gateways - 1);
            const auto choice = core::dispatch::choose(seen, criteria, start);
            const auto chosen = static_cast<std::size_t>(choice.chosen - seen.data());
            ++seen[chosen].load;
            ++sent[chosen];
        }
    }
    for (std::size_t i = 0; i < engines; ++i)
        sent[i] += loads[i];
    return sent;
}

} // namespace

TEST(target_speed_choice, thirty_gateways_that_choose_at_once_give_no_engine_more_than_about_its_share) {
    const auto fullest = [](const std::vector<int>& loads) {
        return *std::max_element(loads.begin(), loads.end());
    };
    const auto mean = [](const std::vector<int>& loads) {
        return std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
    };
    const auto four = choices_at_once(4, true);
    EXPECT_LT(fullest(four), 1.65 * mean(four));
    EXPECT_GT(fullest(choices_at_once(4, false)), 1.8 * mean(four)) << "today's choice";
    const auto eight = choices_at_once(8, true);
    EXPECT_LT(fullest(eight), 1.9 * mean(eight));
    EXPECT_GT(fullest(choices_at_once(8, false)), 2.8 * mean(eight)) << "today's choice";
    const auto single = choices_at_once(1, true); // the engines with fewer requests get them, but not one all
    EXPECT_LT(fullest(single), 26);
    EXPECT_EQ(fullest(choices_at_once(1, false)), 40) << "today's choice: all to one engine";
}

TEST(target_speed_choice, without_spread_the_choice_is_the_cheapest_target_as_before) {
    core::fleet::target first;
    first.entry.id = "t1";
    core::fleet::target second;
    second.entry.id = "t2";
    std::vector<core::dispatch::candidate> seen(2);
    seen[0].target = &first;
    seen[1].target = &second;
    seen[0].limit = seen[1].limit = 48;
    seen[0].load = 20;
    seen[1].load = 21;
    seen[0].unread_limit = seen[1].unread_limit = 2'000;
    for (int prompt : {1, 1'000, 100'000}) {
        core::dispatch::target_criteria criteria;
        criteria.prompt_tokens = prompt;
        EXPECT_EQ(core::dispatch::choose(seen, criteria, start).chosen, &seen[0]) << prompt;
    }
}

TEST(target_speed_choice, long_prompts_go_to_fast_engines_of_equal_load) {
    core::fleet::target slow;
    slow.entry.id = "slow";
    core::fleet::target fast;
    fast.entry.id = "fast";
    std::vector<core::dispatch::candidate> seen(2);
    seen[0].target = &slow;
    seen[1].target = &fast;
    seen[0].capacity = 0.6 * 48;
    seen[1].capacity = 1.6 * 48;
    seen[0].limit = 29;
    seen[1].limit = 64;
    seen[0].unread_limit = 1'200;
    seen[1].unread_limit = 3'200;
    seen[0].load = 9;
    seen[1].load = 24;
    int to_fast = 0;
    for (std::uint64_t number = 0; number < 200; ++number) {
        core::dispatch::target_criteria criteria;
        criteria.prompt_tokens = 6'000;
        criteria.spread = {true, number, 0};
        to_fast += core::dispatch::choose(seen, criteria, start).chosen == &seen[1] ? 1 : 0;
    }
    EXPECT_EQ(to_fast, 200);
}

TEST(target_speed_choice, a_limit_scales_with_the_speed_up_to_the_slots) {
    EXPECT_EQ(core::dispatch::scaled_limit(48, 0.6, 64), 29);
    EXPECT_EQ(core::dispatch::scaled_limit(48, 1.0, 64), 48);
    EXPECT_EQ(core::dispatch::scaled_limit(48, 1.6, 64), 64);
    EXPECT_EQ(core::dispatch::scaled_limit(4, 0.6, 4), 2) << "a plain service with two slots";
    EXPECT_EQ(core::dispatch::scaled_limit(1, 0.4, 1), 1);
}
