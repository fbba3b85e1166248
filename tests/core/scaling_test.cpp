// Tests of the number of targets: on traces of demand, whether callers find room at each time, and how many
// target seconds beyond need are paid for.
#include "core/scaling/autoscaler.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <functional>
#include <list>
#include <random>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using scaling::autoscaler;
using scaling::observation;

namespace {

constexpr time_point start{1000s};
constexpr double room = 48;         // requests that one target runs at once
constexpr double work_s = 2;        // that a request takes
constexpr int seconds_to_react = 6; // from a step of demand until the platform is called, at most

using demand_trace = std::function<double(int second)>;

/// A platform that starts and stops targets as called for, and callers whose demand follows a trace. One step
/// is a second. Requests that find no room wait or are refused.
struct world {
    struct machine {
        int serves_at = 0; // second
    };
    struct centre {
        std::list<machine> machines;
        int desired = 0;
        bool out = false;
    };

    fleet::scaling_spec limits{1, 40, 30s};
    std::map<std::string, centre> centres;
    autoscaler scaler;
    demand_trace demand;
    int second = 0;
    std::vector<scaling::scale_call> calls;
    std::vector<int> short_seconds; // in which callers found no room
    double paid = 0;                // target seconds
    double needed = 0;              // target seconds that demand would have needed at the planned share
    std::mt19937 random{20261203};
    double noise = 0; // of demand, in its square roots
    bool models_placed = true;

    world(std::initializer_list<std::pair<const char*, int>> counts, demand_trace trace)
        : demand(std::move(trace)) {
        for (const auto& [name, count] : counts)
            centres[name] = {std::list<machine>(static_cast<std::size_t>(count)), count, false};
    }

    [[nodiscard]] int serving(const centre& at) const {
        int out = 0;
        for (const machine& one : at.machines)
            out += !at.out && one.serves_at <= second ? 1 : 0;
        return out;
    }
    [[nodiscard]] int serving() const {
        int out = 0;
        for (const auto& [name, at] : centres)
            out += serving(at);
        return out;
    }
    [[nodiscard]] int desired() const {
        int out = 0;
        for (const auto& [name, at] : centres)
            out += at.out ? 0 : at.desired;
        return out;
    }
    [[nodiscard]] int booting_time() const {
        return static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(limits.boot).count());
    }

    void follow(centre& at) {
        while (static_cast<int>(at.machines.size()) < at.desired)
            at.machines.push_back({second + booting_time()});
        while (static_cast<int>(at.machines.size()) > at.desired)
            at.machines.pop_back(); // the youngest first
    }

    void step() {
        double wanted = demand(second);
        if (noise > 0)
            wanted = std::max(0.0, wanted + noise * std::sqrt(wanted) * std::normal_distribution<>{}(random));
        const double space = serving() * room;
        if (wanted > space)
            short_seconds.push_back(second);
        observation seen;
        seen.running = std::min(wanted, space);
        seen.waiting = std::min(wanted - seen.running, 0.2 * space); // callers beyond that are refused
        seen.per_second = wanted / work_s;
        seen.room = room;
        seen.models_placed = models_placed;
        for (const auto& [name, at] : centres)
            seen.centres[name] = {serving(at), at.out};
        for (const auto& call : scaler.evaluate(limits, seen, start + std::chrono::seconds{second})) {
            centres[call.data_centre].desired = std::clamp(call.desired, limits.min, limits.max);
            calls.push_back(call);
        }
        for (auto& [name, at] : centres) {
            follow(at);
            paid += static_cast<double>(at.machines.size());
        }
        needed += std::max(1.0, std::ceil(wanted / (room * 0.8)));
        ++second;
    }
    void run_until(int end) {
        while (second < end)
            step();
    }
    [[nodiscard]] int short_between(int from, int until) const {
        return static_cast<int>(std::count_if(short_seconds.begin(), short_seconds.end(),
                                              [&](int at) { return at >= from && at < until; }));
    }
    [[nodiscard]] int changes_since(std::size_t from) const { return static_cast<int>(calls.size() - from); }
};

demand_trace constant(double level) {
    return [level](int) { return level; };
}

demand_trace step_at(int when, double before, double after) {
    return [=](int second) { return second < when ? before : after; };
}

demand_trace ramp(int from, int until, double before, double after) {
    return [=](int second) {
        const double part = std::clamp(static_cast<double>(second - from) / (until - from), 0.0, 1.0);
        return before + part * (after - before);
    };
}

} // namespace

TEST(autoscaler, under_steady_demand_the_number_stays_and_is_called_for_once) {
    world at{{{"a", 3}, {"b", 3}}, constant(6 * room * 0.75)};
    at.run_until(1'800);
    ASSERT_EQ(at.calls.size(), 2U);
    EXPECT_EQ(at.calls[0].desired, 3);
    EXPECT_EQ(at.calls[1].desired, 3);
    EXPECT_TRUE(at.short_seconds.empty());
}

TEST(autoscaler, noise_of_the_demand_makes_the_number_neither_flap_nor_short) {
    world at{{{"a", 3}, {"b", 3}}, constant(6 * room * 0.79)};
    at.noise = 1;
    at.run_until(3'600);
    EXPECT_LE(at.calls.size(), 6U);
    EXPECT_TRUE(at.short_seconds.empty());
    EXPECT_LE(at.desired(), 9);
}

TEST(autoscaler, a_step_up_is_met_as_soon_as_a_target_can_start) {
    world at{{{"a", 2}, {"b", 2}}, step_at(120, 100, 400)};
    at.run_until(600);
    EXPECT_EQ(at.short_between(0, 120), 0);
    // Full targets hide how much is asked for, so the number may take two calls, one start after the other.
    EXPECT_EQ(at.short_between(120 + 2 * (at.booting_time() + seconds_to_react), 600), 0);
    EXPECT_LE(at.short_between(120, 600), at.booting_time() + seconds_to_react + 5);
    EXPECT_LE(at.desired(), static_cast<int>(std::ceil(400 / (room * 0.7))) + 2);
}

TEST(autoscaler, a_ramp_within_the_spare_room_of_one_start_finds_room_at_each_time) {
    world at{{{"a", 2}, {"b", 2}}, ramp(120, 870, 100, 600)}; // grows by a fifth within the first start
    at.run_until(1'200);
    EXPECT_TRUE(at.short_seconds.empty());
    EXPECT_LE(at.paid, at.needed * 1.6);
}

// A target that is called for when the ramp is first seen comes too late for a demand that grows by half
// within one start. The trend must make up for that, so that only the beginning is short.
TEST(autoscaler, a_steep_ramp_finds_too_little_room_only_at_its_beginning) {
    world at{{{"a", 2}, {"b", 2}}, ramp(120, 420, 100, 600)};
    at.run_until(600);
    EXPECT_LE(at.short_between(0, 600), at.booting_time() / 2);
    EXPECT_EQ(at.short_between(120 + 2 * at.booting_time(), 600), 0);
    EXPECT_LE(at.paid, at.needed * 1.6);
}

TEST(autoscaler, a_ramp_finds_room_also_with_a_long_cold_start) {
    for (const int boot : {0, 5, 30, 120}) {
        world at{{{"a", 3}, {"b", 3}}, ramp(200, 1'400, 180, 900)};
        at.limits.boot = std::chrono::seconds{boot};
        at.run_until(1'800);
        EXPECT_TRUE(at.short_seconds.empty()) << boot << " s, " << at.short_seconds.size() << " s short";
        EXPECT_LE(at.paid, at.needed * 1.6) << boot << " s";
    }
}

TEST(autoscaler, a_short_spike_costs_little_and_leaves_no_targets_behind) {
    world at{{{"a", 2}, {"b", 2}}, [](int second) { return second >= 300 && second < 303 ? 300.0 : 120.0; }};
    at.run_until(900);
    EXPECT_LE(at.short_between(0, 900), 3);
    EXPECT_LE(at.paid - at.needed, 4 * 120 + 0.4 * at.needed); // a few targets for two minutes
    EXPECT_EQ(at.desired(), 4);
}

TEST(autoscaler, a_fall_is_followed_late_and_step_by_step_and_never_too_far) {
    world at{{{"a", 8}, {"b", 8}}, step_at(300, 500, 100)};
    at.run_until(305);
    const int before = at.desired();
    at.run_until(300 + at.booting_time());
    EXPECT_EQ(at.desired(), before) << "reduced before demand was low for as long as a start takes";
    const std::size_t calls = at.calls.size();
    at.run_until(900);
    EXPECT_TRUE(at.short_seconds.empty());
    EXPECT_LE(at.desired(), 4);
    EXPECT_GE(at.desired() * room, 100);
    for (std::size_t i = calls; i < at.calls.size(); ++i)
        EXPECT_EQ(at.calls[i].before - at.calls[i].desired, 1);
    const int excess = before - at.desired();
    EXPECT_LE(at.paid - at.needed, 300.0 * 4 + excess * (40 + excess * 8 / 2.0) + 600 * 2);
}

TEST(autoscaler, an_oscillation_faster_than_a_start_keeps_the_number_at_its_crest) {
    world at{{{"a", 4}, {"b", 4}},
             [](int second) { return 200 + 100 * std::sin(second * 2 * 3.14159 / 20); }};
    at.run_until(120);
    const std::size_t settled = at.calls.size();
    at.run_until(1'800);
    EXPECT_LE(at.changes_since(settled), 2);
    EXPECT_TRUE(at.short_seconds.empty());
}

TEST(autoscaler, a_data_centre_that_is_taken_out_is_replaced_by_the_others_at_once) {
    world at{{{"a", 3}, {"b", 3}, {"c", 3}}, constant(9 * room * 0.75)};
    at.run_until(100);
    at.centres["b"].out = true;
    const std::size_t calls = at.calls.size();
    at.run_until(102 + seconds_to_react);
    EXPECT_GE(at.centres["a"].desired + at.centres["c"].desired, 9);
    at.run_until(300);
    for (std::size_t i = calls; i < at.calls.size(); ++i)
        EXPECT_NE(at.calls[i].data_centre, "b");
    EXPECT_EQ(at.centres["b"].desired, 3) << "its number is kept for its return";
    EXPECT_EQ(at.short_between(100 + at.booting_time() + seconds_to_react, 300), 0);
    at.centres["b"].out = false;
    at.run_until(302);
    EXPECT_GE(at.desired(), 12);
    const int after_return = static_cast<int>(at.short_seconds.size());
    at.run_until(1'200);
    EXPECT_EQ(static_cast<int>(at.short_seconds.size()), after_return);
    EXPECT_LE(at.desired(), 11);
}

TEST(autoscaler, a_lost_target_does_not_lower_the_number_that_the_platform_restores) {
    world at{{{"a", 3}, {"b", 3}}, constant(6 * room * 0.75)};
    at.run_until(200);
    const int before = at.desired();
    at.centres["a"].machines.pop_front(); // the platform starts another one
    at.run_until(600);
    EXPECT_GE(at.desired(), before);
    EXPECT_LE(at.desired(), before + 1);
    EXPECT_LE(at.short_between(200, 600), at.booting_time());
}

TEST(autoscaler, with_equal_bounds_the_number_is_fixed) {
    world at{{{"a", 2}, {"b", 3}}, ramp(50, 300, 50, 900)};
    at.limits.min = at.limits.max = 3;
    at.run_until(600);
    ASSERT_EQ(at.calls.size(), 2U);
    EXPECT_EQ(at.calls[0].desired, 3);
    EXPECT_EQ(at.calls[1].desired, 3);
}

TEST(autoscaler, the_maximum_of_each_data_centre_is_kept_under_any_demand) {
    world at{{{"a", 1}, {"b", 1}}, constant(10'000)};
    at.limits.max = 5;
    at.run_until(300);
    EXPECT_EQ(at.centres["a"].desired, 5);
    EXPECT_EQ(at.centres["b"].desired, 5);
}

TEST(autoscaler, a_service_without_demand_keeps_one_target_and_no_more) {
    world at{{{"a", 3}, {"b", 3}}, constant(0)};
    at.limits.min = 0;
    at.run_until(600);
    EXPECT_EQ(at.desired(), 1);
}

TEST(autoscaler, demand_hidden_by_full_targets_is_seen_in_the_arrivals) {
    world at{{{"a", 1}, {"b", 1}}, step_at(100, 60, 700)};
    at.run_until(100 + 3 * (at.booting_time() + seconds_to_react));
    EXPECT_GE(at.serving() * room, 700);
}

TEST(autoscaler, no_number_falls_while_models_in_use_are_without_a_replica) {
    world at{{{"a", 6}, {"b", 6}}, step_at(100, 400, 50)};
    at.run_until(110);
    const int before = at.desired();
    at.models_placed = false;
    at.run_until(500);
    EXPECT_EQ(at.desired(), before);
    at.models_placed = true;
    at.run_until(900);
    EXPECT_LT(at.desired(), before);
}

TEST(autoscaler, the_number_does_not_fall_below_what_the_models_in_use_need_as_memory) {
    autoscaler scaler;
    observation seen;
    seen.running = 4;
    seen.per_second = 2;
    seen.room = room;
    seen.holders_needed = scaling::targets_to_hold({100, 90, 60, 40, 10}, 150);
    EXPECT_EQ(seen.holders_needed, 2);
    seen.centres["a"] = {6, false};
    for (int second = 0; second < 600; ++second) {
        for (const auto& call : scaler.evaluate({1, 10, 10s}, seen, start + std::chrono::seconds{second}))
            seen.centres["a"].targets = call.desired;
    }
    EXPECT_EQ(seen.centres["a"].targets, 2);
}

TEST(autoscaler, a_new_holder_confirms_the_number_once_although_it_has_not_changed) {
    world at{{{"a", 3}}, constant(3 * room * 0.75)};
    at.run_until(60);
    ASSERT_EQ(at.calls.size(), 1U);
    at.scaler = autoscaler{};
    at.run_until(120);
    ASSERT_EQ(at.calls.size(), 2U);
    EXPECT_EQ(at.calls[1].desired, 3);
}

// Whatever the demand, the calls stay within the bounds, and no call takes away room that is in use.
RC_GTEST_PROP(autoscaler, calls_stay_within_bounds_and_never_take_room_in_use, ()) {
    const int low = *rc::gen::inRange(0, 4);
    const int high = low + *rc::gen::inRange(0, 20);
    const auto levels = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 1'500));
    world at{{{"a", low}, {"b", high}},
             [levels](int second) { return levels[static_cast<std::size_t>(second / 40) % levels.size()]; }};
    at.limits = {low, high, std::chrono::seconds{*rc::gen::inRange(0, 60)}};
    for (int i = 0; i < 320; ++i) {
        const std::size_t before = at.calls.size();
        const double level = at.demand(at.second);
        at.step();
        for (std::size_t k = before; k < at.calls.size(); ++k) {
            RC_ASSERT(at.calls[k].desired >= low);
            RC_ASSERT(at.calls[k].desired <= high);
            if (at.calls[k].desired < at.calls[k].before)
                RC_ASSERT(at.desired() * room >= std::min(level, 2 * high * room));
        }
    }
}
