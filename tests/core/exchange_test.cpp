// The exchange between gateways in fleets of 5 to 1,000, by a model with loss, delay, cuts, freezes, restarts
// and clocks of different rates: what each knows of the others, how old it is, and what rates they grant
// together.
#include "core/exchange/exchange.hpp"
#include "core/exchange/relay_queue.hpp"
#include "exchange_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

using namespace waxwinglb;
using namespace waxwinglb::tests;
using core::exchange::choose_speakers;
using core::exchange::divide_into_groups;
using core::exchange::total_feed;
using core::limits::taken_tokens;

namespace {

constexpr milliseconds settle{2'500};   // until all gateways that have just started know of each other
constexpr milliseconds recovery{3'000}; // after the loss of any gateways, or of contact
constexpr milliseconds knowledge_limit{
    2'000}; // age of what is known of another group: three periods, one message lost in each
constexpr double max_messages = 200; // a second and direction, of the busiest gateway, at any size
constexpr double overage = 0.1;      // of the documented bound QUOTA
constexpr double slack = 11'000;     // tokens, of the documented bound QUOTA
constexpr milliseconds quota_window{8'000};

model_options fleet_of(int gateways, std::uint64_t seed = 1) {
    model_options out;
    out.gateways = gateways;
    out.seed = seed;
    return out;
}

double allowed(const model_options& options) {
    return (options.rate * 8 + options.burst) * (1 + overage) + slack;
}

void expect_whole(const exchange_model& fleet, const std::string& when) {
    for (const auto& each : fleet.members)
        if (each.up) {
            EXPECT_DOUBLE_EQ(fleet.part(each), 1) << each.name << " " << when;
        }
}

} // namespace

TEST(exchange_groups, are_of_one_data_centre_and_of_bounded_size) {
    for (const int size : {41, 103, 300, 1'300}) {
        core::exchange::gateway_places places;
        for (int at = 0; at < size; ++at)
            places["g" + std::to_string(at)] = "dc" + std::to_string(at % 8);
        std::map<std::string, std::set<std::string>> centres;
        std::map<std::string, std::size_t> sizes;
        for (const auto& [name, group] : divide_into_groups(places)) {
            centres[group].insert(places.at(name));
            ++sizes[group];
        }
        for (const auto& [group, in] : centres)
            EXPECT_EQ(in.size(), 1U) << group;
        for (const auto& [group, count] : sizes)
            EXPECT_LE(count, 2 * core::exchange::max_group) << group << " of " << size;
    }
}

TEST(exchange_groups, a_gateway_of_an_earlier_version_is_in_none) {
    EXPECT_FALSE(divide_into_groups({{"old", ""}, {"new", "a"}}).contains("old"));
}

TEST(exchange_groups, larger_machines_speak) {
    const auto speakers =
        choose_speakers("a", {{"s1", 0.09}, {"l1", 0.5}, {"s2", 0.09}, {"l2", 0.5}, {"l3", 0.5}});
    ASSERT_EQ(speakers.size(), 2U);
    for (const std::string& name : speakers)
        EXPECT_EQ(name[0], 'l');
    EXPECT_EQ(choose_speakers("a", {{"only", 0}}).size(), 1U);
}

TEST(exchange_groups, one_speaker_repeats_what_did_not_change) {
    int both = 0;
    for (int at = 0; at < 100; ++at) {
        const std::string target = "t" + std::to_string(at);
        const bool first = core::exchange::repeats(target, "a", {"a", "b"});
        EXPECT_NE(first, core::exchange::repeats(target, "b", {"a", "b"}));
        EXPECT_TRUE(core::exchange::repeats(target, "c", {"a", "b"}))
            << "tried, because no speaker was reached";
        both += first ? 1 : 0;
    }
    EXPECT_GT(both, 20);
    EXPECT_LT(both, 80);
}

TEST(relay_queue, passes_on_the_newest_of_each_subject_oldest_first) {
    core::exchange::relay_queue<int> queue;
    queue.put("a", 1, false, 10);
    queue.put("b", 1, false, 20);
    queue.put("a", 2, false, 11);
    EXPECT_EQ(queue.take(1), (std::vector<int>{11}));
    EXPECT_FALSE(queue.empty());
    EXPECT_EQ(queue.take(9), (std::vector<int>{20}));
    EXPECT_TRUE(queue.empty());
    queue.put("a", 2, false, 12);
    EXPECT_TRUE(queue.empty()) << "it says the same, and another speaker repeats it";
    queue.put("a", 2, true, 13);
    EXPECT_EQ(queue.take(9), (std::vector<int>{13}));
}

TEST(total_feed, counts_each_token_once_while_two_report) {
    total_feed feed;
    const time_point at{10s};
    EXPECT_TRUE(feed.take("r1", 1, {{"c", 1'000}}, 5, at).empty()) << "taken before it was heard";
    EXPECT_TRUE(feed.take("r2", 1, {{"c", 70}}, 5, at).empty());
    EXPECT_EQ(feed.take("r1", 1, {{"c", 1'100}}, 5, at + 200ms), (taken_tokens{{"c", 100}}));
    EXPECT_TRUE(feed.take("r2", 1, {{"c", 170}}, 5, at + 210ms).empty());
    EXPECT_EQ(feed.take("r1", 1, {{"c", 1'100}}, 5, at + 400ms), taken_tokens{});
    // r1 is lost: r2 goes on from what it had stated then.
    EXPECT_EQ(feed.take("r2", 1, {{"c", 300}}, 5, at + 1'500ms), (taken_tokens{{"c", 130}}));
    EXPECT_EQ(feed.take("r2", 1, {{"c", 310}}, 5, at + 1'700ms), (taken_tokens{{"c", 10}}));
}

TEST(total_feed, does_not_count_what_another_reported_while_one_was_away) {
    total_feed feed;
    const time_point at{10s};
    feed.take("r1", 1, {{"c", 0}}, 5, at);
    feed.take("r2", 1, {{"c", 0}}, 5, at);
    EXPECT_EQ(feed.take("r1", 1, {{"c", 900}}, 5, at + 5s), (taken_tokens{{"c", 900}}));
    EXPECT_TRUE(feed.take("r2", 1, {{"c", 900}}, 5, at + 5'100ms).empty());
    EXPECT_EQ(feed.take("r2", 1, {{"c", 950}}, 5, at + 7s), (taken_tokens{{"c", 50}})) << "r1 is silent";
}

TEST(total_feed, prefers_the_reporter_that_covers_more) {
    total_feed feed;
    const time_point at{10s};
    feed.take("r1", 1, {{"c", 0}}, 3, at);
    feed.take("r2", 1, {{"c", 0}}, 9, at);
    EXPECT_EQ(feed.followed(), "r2");
    feed.take("r1", 1, {{"c", 0}}, 9, at);
    EXPECT_EQ(feed.followed(), "r2") << "no change without need";
}

TEST(total_feed, a_restarted_reporter_begins_anew) {
    total_feed feed;
    const time_point at{10s};
    feed.take("r1", 1, {{"c", 5'000}}, 3, at);
    EXPECT_TRUE(feed.take("r1", 2, {{"c", 10}}, 3, at + 1s).empty());
    EXPECT_EQ(feed.take("r1", 2, {{"c", 15}}, 3, at + 2s), (taken_tokens{{"c", 5}}));
}

class exchange_sizes : public testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(fleets, exchange_sizes, testing::Values(1, 5, 30, 40, 41, 103, 300));

TEST_P(exchange_sizes, in_calm_everybody_uses_whole_rates_and_knows_all_loads) {
    exchange_model fleet{fleet_of(GetParam())};
    fleet.run(settle);
    expect_whole(fleet, "after the start");
    for (int second = 0; second < 5; ++second) {
        fleet.run(1s);
        expect_whole(fleet, "in calm");
    }
    for (auto& each : fleet.members)
        each.running["t"] = 1;
    fleet.run(knowledge_limit);
    for (const auto& each : fleet.members)
        EXPECT_EQ(fleet.known_load(each, "t"), GetParam() - 1) << each.name;
}

TEST_P(exchange_sizes, messages_do_not_grow_with_the_square_of_the_fleet) {
    exchange_model fleet{fleet_of(GetParam())};
    fleet.run(settle);
    for (auto& each : fleet.members)
        each.sent = each.received = 0;
    fleet.run(5s);
    for (const auto& each : fleet.members) {
        EXPECT_LE(static_cast<double>(each.sent) / 5, max_messages) << each.name;
        EXPECT_LE(static_cast<double>(each.received) / 5, max_messages) << each.name;
    }
}

TEST_P(exchange_sizes, the_order_giver_is_heard_by_all) {
    exchange_model fleet{fleet_of(GetParam())};
    auto& holder = fleet.members.back(); // a small machine of the last data centre
    holder.gives_orders = true;
    fleet.run(settle);
    const auto hear = [&](const auto& each) { return each.exchange->order_giver(fleet.local(each)); };
    for (int step = 0; step < 20; ++step) {
        fleet.run(100ms);
        for (const auto& each : fleet.members)
            if (&each != &holder) {
                ASSERT_TRUE(hear(each).has_value()) << each.name;
                EXPECT_EQ(hear(each)->name, holder.name);
            }
    }
    holder.gives_orders = false;
    fleet.run(core::exchange::sighting_limit + 500ms);
    for (const auto& each : fleet.members)
        EXPECT_FALSE(hear(each).has_value()) << each.name;
}

TEST_P(exchange_sizes, all_choose_the_same_coordinators) {
    exchange_model fleet{fleet_of(GetParam())};
    fleet.run(settle);
    const auto sorted = [&](const auto& each) {
        auto names = each.exchange->coordinators(fleet.local(each));
        std::sort(names.begin(), names.end());
        return names;
    };
    for (const auto& each : fleet.members)
        EXPECT_EQ(sorted(each), sorted(fleet.members.front())) << each.name;
}

TEST(exchange, one_of_a_thousand_knows_the_rest) {
    model_options options = fleet_of(1'000);
    options.data_centres = 8;
    exchange_model fleet{options};
    fleet.run(settle);
    for (std::size_t at = 0; at < fleet.members.size(); at += 97)
        EXPECT_GT(fleet.part(fleet.members[at]), 0.99) << at; // some groups are still being met
}

TEST(exchange, goes_on_when_all_speakers_are_killed_at_once) {
    exchange_model fleet{fleet_of(103)};
    fleet.run(settle);
    std::vector<std::string> speakers =
        fleet.members[0].exchange->coordinators(fleet.local(fleet.members[0]));
    ASSERT_EQ(speakers.size(), 12U);
    for (auto& each : fleet.members) {
        each.running["t"] = 1;
        if (std::find(speakers.begin(), speakers.end(), each.name) != speakers.end())
            fleet.kill(each);
    }
    fleet.run(recovery);
    for (const auto& each : fleet.members) {
        if (!each.up)
            continue;
        EXPECT_EQ(fleet.known_load(each, "t"), 103 - 12 - 1) << each.name;
        EXPECT_NEAR(fleet.part(each), (103.0 - 12) / 103, 1e-9) << each.name;
    }
}

TEST(exchange, goes_on_when_all_but_one_of_a_group_restart_at_once) {
    exchange_model fleet{fleet_of(103)};
    fleet.run(settle);
    for (auto& each : fleet.members)
        if (each.data_centre == "dc2" && each.name != "g98")
            fleet.restart(each);
    fleet.run(recovery);
    expect_whole(fleet, "after the restarts");
}

TEST(exchange, a_data_centre_that_is_cut_off_uses_its_part_and_comes_back) {
    exchange_model fleet{fleet_of(103)};
    fleet.run(settle);
    fleet.is_cut = [](const auto& from, const auto& to) {
        return (from.data_centre == "dc1") != (to.data_centre == "dc1");
    };
    fleet.run(recovery);
    const auto inside =
        static_cast<double>(std::count_if(fleet.members.begin(), fleet.members.end(),
                                          [](const auto& each) { return each.data_centre == "dc1"; }));
    for (const auto& each : fleet.members)
        EXPECT_NEAR(fleet.part(each), (each.data_centre == "dc1" ? inside : 103 - inside) / 103, 1e-9)
            << each.name;
    fleet.is_cut = [](const auto&, const auto&) { return false; };
    fleet.run(recovery);
    expect_whole(fleet, "after the cut");
}

TEST(exchange, a_cut_in_one_direction_counts_as_one_in_both) {
    exchange_model fleet{fleet_of(103)};
    fleet.run(settle);
    fleet.is_cut = [](const auto& from, const auto& to) {
        return from.data_centre == "dc1" && to.data_centre != "dc1";
    };
    fleet.run(recovery);
    double sum = 0; // of the two sides
    for (const auto& each : fleet.members)
        if (each.name == "g0" || each.name == "g1")
            sum += fleet.part(each);
    EXPECT_LE(sum, 1 + 1e-9);
}

TEST(exchange, gateways_that_shut_down_in_order_leave_their_part) {
    exchange_model fleet{fleet_of(103)};
    fleet.run(settle);
    for (auto& each : fleet.members) {
        if (each.data_centre != "dc3")
            continue;
        core::exchange::local_state state;
        state.leaving = true;
        const auto last = each.exchange->member_report(state, *each.quota, fleet.local(each));
        for (auto& other : fleet.members)
            if (each.exchange->members().contains(other.name) && other.name != "g3")
                other.exchange->take(last, *other.quota, fleet.local(other));
        if (each.name != "g3") // one stays, to tell of the others
            fleet.kill(each);
    }
    auto& last = fleet.members[3];
    for (auto& each : fleet.members)
        if (each.data_centre == "dc3" && each.name != "g3") {
            core::exchange::local_state state;
            state.leaving = true;
            last.exchange->take(each.exchange->member_report(state, *each.quota, fleet.local(each)),
                                *last.quota, fleet.local(last));
        }
    fleet.run(recovery);
    expect_whole(fleet, "after a data centre has been scaled down to one gateway");
}

TEST(exchange, reports_that_are_old_or_repeated_change_nothing) {
    exchange_model fleet{fleet_of(5)};
    fleet.run(settle);
    auto& from = fleet.members[0];
    auto& to = fleet.members[1];
    core::exchange::local_state state;
    const auto first = from.exchange->member_report(state, *from.quota, fleet.local(from));
    state.running["t"] = 7;
    const auto second = from.exchange->member_report(state, *from.quota, fleet.local(from));
    EXPECT_TRUE(to.exchange->take(second, *to.quota, fleet.local(to)).newest);
    EXPECT_FALSE(to.exchange->take(second, *to.quota, fleet.local(to)).newest);
    EXPECT_FALSE(to.exchange->take(first, *to.quota, fleet.local(to)).newest);
    EXPECT_EQ(fleet.known_load(to, "t"), 7);
}

// A report of a version without groups has no data centre: both sides report to each other directly.
TEST(exchange, works_beside_gateways_of_an_earlier_version) {
    exchange_model fleet{fleet_of(103)};
    fleet.run(settle);
    auto& each = fleet.members[5];
    report old;
    old.process = "g50";
    old.boot = 99;
    old.sequence = 1;
    old.members_in_contact = {"g5"};
    old.own = core::exchange::usage{{}, {{"t", 4}}};
    each.exchange->take(old, *each.quota, fleet.local(each));
    EXPECT_TRUE(each.exchange->members().contains("g50"));
    EXPECT_EQ(fleet.known_load(each, "t"), 4);
}

// A customer at half its rate whose requests come to any gateway of the fleet is never refused in calm.
TEST(exchange, a_customer_within_its_rate_is_not_refused_in_calm) {
    model_options options = fleet_of(103);
    options.rate = 50'000;
    options.burst = 50'000;
    exchange_model fleet{options};
    fleet.run(settle);
    int refused = 0;
    fleet.load = [&](auto& each) {
        if (fleet.next_random() % 412 == 0) // 25 requests a second of all gateways
            refused += fleet.take(each, 1'000) ? 0 : 1;
    };
    fleet.run(20s);
    EXPECT_GT(fleet.spent.size(), 300U);
    EXPECT_EQ(refused, 0);
}

class exchange_faults : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(seeds, exchange_faults, testing::Range<std::uint64_t>(1, 13));

TEST_P(exchange_faults, rates_hold_at_many_times_the_rate) {
    model_options options = fleet_of(48, GetParam());
    options.data_centres = 4;
    exchange_model fleet{options};
    fleet.run(settle);
    fleet.load = [&](auto& each) {
        if (fleet.next_random() % 24 == 0) // 2 requests in a step: about 7 times the rate
            fleet.take(each, static_cast<double>(10 + fleet.next_random() % 330));
    };
    std::vector<int> side(4, 0);
    bool one_way = false;
    fleet.is_cut = [&](const auto& from, const auto& to) {
        const int a = side[static_cast<std::size_t>(from.data_centre[2] - '0')];
        const int b = side[static_cast<std::size_t>(to.data_centre[2] - '0')];
        return one_way ? a < b : a != b;
    };
    for (int round = 0; round < 5; ++round) {
        for (int& each : side)
            each = static_cast<int>(fleet.next_random() % 2);
        one_way = fleet.next_random() % 3 == 0;
        auto& hit = fleet.members[fleet.next_random() % fleet.members.size()];
        switch (fleet.next_random() % 3) {
        case 0:
            fleet.kill(hit);
            break;
        case 1:
            hit.frozen = true;
            break;
        default:
            fleet.restart(hit);
        }
        fleet.run(2s);
        if (!hit.up)
            fleet.restart(hit);
        else if (hit.frozen)
            fleet.thaw(hit);
        fleet.run(1s);
    }
    EXPECT_LE(most_in_window(fleet.spent, quota_window), allowed(options));
}

// Two reporters count the same requests, each with its own delay; either may be silent for a while, or
// restart. What the feed counts stays close to what was taken, at most a restart's and a period's worth off.
RC_GTEST_PROP(total_feed, counts_what_was_taken_whoever_reports, ()) {
    total_feed feed;
    time_point now{100s};
    double taken = 0;
    double counted = 0;
    int changes = 0; // of the reporter that is followed
    std::array<int, 2> silent_steps{};
    constexpr double per_step = 10; // tokens
    int both_silent = 0;
    for (int step = 0; step < 300; ++step) {
        now += 100ms;
        taken += per_step;
        const auto hit = static_cast<std::size_t>(*rc::gen::inRange(0, 2));
        if (*rc::gen::inRange(0, 40) == 0 && silent_steps[1 - hit] == 0)
            silent_steps[hit] = *rc::gen::inRange(1, 60);
        for (std::size_t reporter = 0; reporter < 2; ++reporter) {
            if (silent_steps[reporter] > 0) {
                --silent_steps[reporter];
                continue;
            }
            const std::string before = feed.followed();
            const auto added = feed.take(std::to_string(reporter), 1, {{"c", taken}}, 1, now);
            changes += before == feed.followed() ? 0 : 1;
            for (const auto& [customer, tokens] : added)
                counted += tokens;
        }
        both_silent += silent_steps[0] > 0 && silent_steps[1] > 0 ? 1 : 0;
    }
    RC_ASSERT(both_silent == 0);
    // At a change the successor's last report may be half a second older than that of its predecessor: that
    // part is counted twice.
    RC_ASSERT(counted <= taken + 5 * per_step * changes);
    // The first report is the base, and a silence is noticed after the contact limit.
    RC_ASSERT(counted >= taken - per_step * 2 - per_step * 11);
}
