// Tests of replica sets (no replicas beyond the decision, one decision for a burst, replacements), the choice
// of targets, idle limits, and the slot queue of the weight store.
#include "core/placement/idle_policy.hpp"
#include "core/placement/weight_slots.hpp"
#include "placement_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::tests;

namespace {

const time_point start = time_point{} + 100s;

std::vector<placement::target_view> targets(int count) {
    std::vector<placement::target_view> views;
    for (int i = 0; i < count; ++i) {
        placement::target_view view;
        view.target = "t" + std::to_string(i);
        view.vm = "vm" + std::to_string(i);
        view.data_centre = i % 2 == 0 ? "cerro" : "colon";
        view.boot = 1;
        view.memory_bytes = 100;
        view.free_bytes = 100;
        view.reachable = true;
        views.push_back(view);
    }
    return views;
}

placement::plan_input input_for(const std::vector<placement::target_view>& views, int max_replicas = 2) {
    placement::plan_input input;
    input.targets = views;
    input.version = "v1";
    input.bytes = 40;
    input.max_replicas = max_replicas;
    input.idle_limit = 10s;
    return input;
}

/// Runs enough rounds of planning, storing and successful orders for the set to stop changing.
void settle(placement::replica_set& set, time_point now, const placement::plan_input& input) {
    for (int round = 0; round < 8; ++round) {
        if (const auto next = set.plan(now, input))
            set.stored(next->number);
        for (const auto& order : set.orders(now, input.targets)) {
            const bool load = order.kind == placement::intent::load;
            set.sent(now, order);
            set.on_outcome(now, {order.target, order.decision,
                                 load ? placement::order_result::loaded : placement::order_result::unloaded});
        }
    }
}

} // namespace

RC_GTEST_PROP(placement_property, only_decided_targets_hold_the_model, ()) {
    const int max_replicas = *rc::gen::resize(100, rc::gen::inRange(1, 4));
    placement_simulation simulation{max_replicas};
    const auto words = rc::gen::inRange<std::uint32_t>(0, 1U << 31U);
    const int count = *rc::gen::resize(100, rc::gen::inRange(50, 500));
    for (const auto draw :
         *rc::gen::resize(100, rc::gen::container<std::vector<std::uint32_t>>(count, words))) {
        simulation.step(draw);
        RC_ASSERT(simulation.only_decided());
    }
    RC_TAG(simulation.loads() > 5 ? "over 5 loads" : "fewer");
    RC_ASSERT(simulation.numbers_rise());
    RC_ASSERT(simulation.most_serving() <= 2 * max_replicas);
}

TEST(placement_replica_set, burst_of_first_requests_makes_one_decision) {
    placement::replica_set set;
    const auto views = targets(4);
    int decisions = 0;
    for (int router = 0; router < 50; ++router) {
        set.note_waiting(start, "r" + std::to_string(router), {3, 30, 5s});
        decisions += set.plan(start, input_for(views)).has_value() ? 1 : 0;
        EXPECT_TRUE(set.orders(start, views).empty()); // no orders before the decision is stored
    }
    EXPECT_EQ(decisions, 1);
    set.stored(1);
    EXPECT_EQ(set.current().members.size(), 1U); // enough for the first report
    EXPECT_EQ(set.orders(start, views).size(), 1U);
}

TEST(placement_replica_set, grows_with_the_queue_up_to_max_replicas) {
    placement::replica_set set;
    const auto views = targets(6);
    set.note_waiting(start, "r", {40, 400, 5s});
    settle(set, start, input_for(views, 3));
    EXPECT_EQ(set.current().members.size(), 3U);
}

TEST(placement_replica_set, replica_in_a_data_centre_taken_out_is_unloaded_after_its_replacement_has_loaded) {
    placement::replica_set set;
    auto views = targets(2);
    set.note_waiting(start, "r", {1, 10, 5s});
    settle(set, start, input_for(views, 1));
    const std::string first = set.current().members.at(0).target;
    for (auto& view : views)
        view.centre_out = view.target == first;
    auto next = set.plan(start, input_for(views, 1));
    ASSERT_TRUE(next.has_value());
    ASSERT_EQ(next->members.size(), 2U);
    EXPECT_EQ(next->members.at(0).intended, placement::intent::load);
    set.stored(next->number);
    EXPECT_FALSE(set.plan(start, input_for(views, 1)).has_value()); // the replacement is still loading
    settle(set, start, input_for(views, 1));
    ASSERT_EQ(set.current().members.size(), 1U);
    EXPECT_NE(set.current().members.at(0).target, first);
}

TEST(placement_replica_set, idle_replica_is_unloaded_and_removed_after_confirmation) {
    placement::replica_set set;
    const auto views = targets(2);
    set.note_waiting(start, "r", {1, 10, 5s});
    settle(set, start, input_for(views));
    set.note_waiting(start, "r", {});
    const std::string only = set.current().members.at(0).target;
    set.on_report(only, placement::member_state::loaded, 9s);
    EXPECT_FALSE(set.plan(start + 5s, input_for(views)).has_value());
    set.on_report(only, placement::member_state::loaded, 11s);
    const auto next = set.plan(start + 5s, input_for(views));
    ASSERT_TRUE(next.has_value());
    ASSERT_EQ(next->members.size(),
              1U); // still listed: it may hold the model until the agent confirms the unload
    set.stored(next->number);
    EXPECT_FALSE(set.plan(start + 5s, input_for(views)).has_value());
    settle(set, start + 5s, input_for(views));
    EXPECT_TRUE(set.current().members.empty());
}

TEST(placement_replica_set, answer_to_an_older_unload_confirms_nothing) {
    placement::replica_set set;
    const auto views = targets(1);
    const auto idle_after_use = [&](time_point now) {
        set.note_waiting(now, "r", {1, 10, 5s});
        settle(set, now, input_for(views));
        set.note_waiting(now, "r", {});
        set.on_report("t0", placement::member_state::loaded, 11s);
        set.stored(set.plan(now, input_for(views))->number);
    };
    idle_after_use(start);
    const auto old = set.current().members.at(0).since;
    settle(set, start, input_for(views));
    idle_after_use(start + 20s);
    set.on_outcome(start + 20s, {"t0", old, placement::order_result::unloaded});
    EXPECT_FALSE(set.plan(start + 20s, input_for(views)).has_value()); // it may still be loaded
}

TEST(placement_replica_set, refused_load_is_unloaded_and_retried_at_another_target) {
    placement::replica_set set;
    const auto views = targets(3);
    set.note_waiting(start, "r", {1, 10, 5s});
    set.stored(set.plan(start, input_for(views))->number);
    const auto order = set.orders(start, views).at(0);
    set.sent(start, order);
    set.on_outcome(start, {order.target, order.decision, placement::order_result::refused});
    const auto next = set.plan(start, input_for(views));
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(next->members.at(0).intended, placement::intent::unload);
    EXPECT_NE(next->members.at(1).target, order.target);
}

TEST(placement_replica_target, prefers_free_memory_then_cheap_evictions_and_other_data_centres) {
    auto views = targets(4);
    const placement::load_times times{1s, 5s, 20s};
    const std::vector<std::string> taken{"t0"};
    const std::vector<std::string> centres{"cerro"};
    EXPECT_EQ(placement::choose_replica_target(views, 40, times, taken, centres)->target, "t1");
    for (auto& view : views)
        view.free_bytes = 0;
    views[1].residents = {{"a", 50, false, 1.0, 20s}, {"b", 50, false, 0.001, 20s}, {"c", 100, true, 0, 20s}};
    const auto choice = placement::choose_replica_target(views, 40, times, taken, centres);
    ASSERT_TRUE(choice.has_value());
    EXPECT_EQ(choice->evict, std::vector<std::string>{"b"});
    EXPECT_FALSE(placement::choose_replica_target(views, 400, times, taken, centres).has_value());
    views[2].tier = placement::weight_tier::memory;
    views[2].free_bytes = 100;
    EXPECT_EQ(placement::choose_replica_target(views, 40, times, taken, centres)->target, "t2");
}

TEST(placement_idle, is_long_for_short_gaps_and_short_for_long_gaps) {
    placement::gap_histogram often;
    placement::gap_histogram seldom;
    for (int i = 0; i < 100; ++i) {
        often.add(20s);
        seldom.add(std::chrono::hours(2));
    }
    const placement::idle_cost cost{20s, 1.0, 600s, 0};
    EXPECT_GE(placement::idle_limit(often, cost), 32s);
    EXPECT_LE(placement::idle_limit(seldom, cost), 20s);
    EXPECT_LE(placement::idle_limit(often, cost), 600s);
    EXPECT_GT(often.rate_after(10s), seldom.rate_after(10s));
    placement::gap_histogram read;
    read.decode(often.encode());
    EXPECT_NEAR(read.weight(), often.weight(), 0.1);
}

TEST(placement_slots, parallel_loads_and_starts_per_second_are_bounded) {
    placement::weight_slots slots{{4, 3.0, 32, 2s}};
    int granted = 0;
    for (int i = 0; i < 10; ++i)
        granted += slots.request(start, {"a" + std::to_string(i), "norte", 1, 0, start + 5s}).granted ? 1 : 0;
    EXPECT_EQ(granted, 3);
    EXPECT_GT(slots.estimate(start), 0s);
    EXPECT_EQ(slots.granted(start + 1s).size(), 1U); // the fourth; no more in parallel
    EXPECT_EQ(slots.granted(start + 2s).size(), 0U);
    slots.release(start + 2s, "a0");
    EXPECT_EQ(slots.granted(start + 2s).size(), 1U);
}

TEST(placement_slots, customers_share_fairly_whatever_their_queue_length) {
    placement::weight_slots slots{{1, 100.0, 32, 2s}};
    slots.request(start, {"first", "norte", 1, 0, start + 5s});
    for (int i = 0; i < 5; ++i)
        slots.request(start, {"norte" + std::to_string(i), "norte", 1, 0, start + 5s});
    slots.request(start, {"sur-late", "sur", 1, 0, start + 9s});
    slots.request(start, {"sur-soon", "sur", 1, 0, start + 1s});
    std::vector<std::string> order;
    std::string last = "first";
    for (int i = 0; i < 4; ++i) {
        slots.release(start, last);
        last = slots.granted(start).at(0);
        order.push_back(last);
    }
    EXPECT_EQ(
        std::count_if(order.begin(), order.end(), [](const auto& requester) { return requester[0] == 's'; }),
        2);
}

TEST(placement_slots, adapters_in_flight_are_bounded) {
    placement::weight_slots slots{{4, 4.0, 32, 2s}};
    EXPECT_TRUE(slots.request(start, {"a", "norte", 1, 30, start}).granted);
    EXPECT_FALSE(slots.request(start, {"b", "norte", 1, 3, start}).granted);
    EXPECT_TRUE(
        slots.request(start, {"c", "norte", 1, 0, start}).granted); // model weights have their own slots
    slots.release(start, "a");
    EXPECT_EQ(slots.granted(start), std::vector<std::string>{"b"});
}
