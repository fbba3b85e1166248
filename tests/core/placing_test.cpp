// Orders to targets: what is loaded for whom, and that no target is ever ordered beyond its memory, also when
// answers are lost and orders are carried out late.
#include "core/placing/planner.hpp"
#include "core/placing/store_pace.hpp"
#include "core/placing/target_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using fleet::model_wish;
using placing::planned_order;
using placing::planner_input;
using placing::target_ledger;
using placing::target_state;

namespace {

constexpr time_point start{100s};
constexpr placing::planner_limits limits;

fleet::engine_spec engine(int models) {
    fleet::engine_spec out;
    out.slots = 64;
    out.megabytes = 230'000;
    out.adapter_places = 8;
    for (int at = 0; at < models; ++at) {
        fleet::model_spec one;
        one.name = "m" + std::to_string(at);
        one.megabytes = 72'700;
        one.adapter_megabytes = 66;
        one.adapters = at == 0 ? 20 : 0;
        one.store_load = 6'000ms;
        one.disk_load = 840ms;
        one.memory_load = 630ms;
        out.models[one.name] = one;
    }
    return out;
}

target_state target(const std::string& id, std::initializer_list<const char*> models) {
    target_state out;
    out.id = id;
    out.takes_orders = true;
    for (const char* one : models) {
        out.models[one].last_used = start - 10s;
        out.copies_on_disk.insert(one);
    }
    return out;
}

placing::demand waiting(int count, int priority = 1) {
    placing::demand out;
    out.waiting = count;
    out.oldest = start;
    out.priority = priority;
    return out;
}

const planned_order* order_for(const std::vector<planned_order>& orders, const std::string& id) {
    const auto found =
        std::find_if(orders.begin(), orders.end(), [&](const auto& one) { return one.target == id; });
    return found == orders.end() ? nullptr : &*found;
}

} // namespace

TEST(planner, a_rare_model_is_loaded_where_a_copy_is_at_hand) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1"}), target("t2", {"m2", "m3"})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m7");
    in.demands[{"m7", ""}] = waiting(1);
    const auto orders = placing::plan(in, limits, start);
    const auto* order = order_for(orders, "t2");
    ASSERT_NE(order, nullptr);
    EXPECT_TRUE(order->load);
    EXPECT_EQ(order->what.model, "m7");
    EXPECT_FALSE(order->from_weight_store);
}

TEST(planner, a_full_target_first_unloads_what_nobody_uses) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1", "m2"})}, {}, 0};
    in.targets[0].copies_on_disk.insert("m7");
    in.targets[0].models["m0"].running = 1;
    in.demands[{"m1", ""}].per_second = 3;
    in.demands[{"m7", ""}] = waiting(1);
    const auto orders = placing::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].load);
    EXPECT_EQ(orders[0].what.model, "m2");
}

TEST(planner, a_model_that_runs_or_is_waited_for_never_gives_way) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1", "m2"})}, {}, 0};
    in.targets[0].models["m0"].running = 1;
    in.targets[0].models["m1"].last_used = start; // just loaded
    in.demands[{"m2", ""}] = waiting(2);
    in.demands[{"m7", ""}] = waiting(1);
    EXPECT_TRUE(placing::plan(in, limits, start).empty());
}

TEST(planner, models_without_a_copy_are_fetched_while_the_weight_store_idles_and_no_more) {
    const auto spec = engine(12);
    planner_input in{&spec, {}, {}, 1};
    for (int at = 0; at < 8; ++at)
        in.targets.push_back(target("t" + std::to_string(at), {}));
    const auto orders = placing::plan(in, limits, start);
    EXPECT_EQ(
        std::count_if(orders.begin(), orders.end(), [](const auto& one) { return one.from_weight_store; }),
        limits.parallel_store_loads - 1);
}

TEST(planner, a_busy_model_gets_another_replica) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {"m1"})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m0");
    in.demands[{"m0", ""}].running = limits.requests_per_replica + 1;
    const auto orders = placing::plan(in, limits, start);
    const auto* order = order_for(orders, "t2");
    ASSERT_NE(order, nullptr);
    EXPECT_EQ(order->what.model, "m0");
}

TEST(planner, an_adapter_goes_beside_its_model_and_an_idle_one_makes_room) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"})}, {}, 0};
    for (int at = 0; at < 8; ++at)
        in.targets[0].adapters[{"m0", "a" + std::to_string(at)}].running = at == 3 ? 0 : 1;
    in.demands[{"m0", "a9"}] = waiting(1);
    auto orders = placing::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].load);
    EXPECT_EQ(orders[0].what, (model_wish{"m0", "a3"}));
    in.targets[0].adapters.erase({"m0", "a3"});
    orders = placing::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(orders[0].load);
    EXPECT_EQ(orders[0].what, (model_wish{"m0", "a9"}));
}

TEST(planner, targets_that_leave_or_are_taken_out_get_no_model) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {})}, {}, 0};
    in.targets[0].serves = false;
    in.demands[{"m0", ""}] = waiting(1);
    EXPECT_TRUE(placing::plan(in, limits, start).empty());
}

TEST(ledger, an_order_without_an_answer_blocks_until_a_fresh_report) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    ASSERT_TRUE(one.takes_orders(start));
    one.sent({"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.answered(target_ledger::answer::unknown, start + 1s);
    EXPECT_FALSE(one.takes_orders(start + 2s));
    EXPECT_TRUE(one.store_load_under_way(start + 2s)); // counted as begun
    one.describe(1, 4, {}, start + 1'100ms);           // may be older than the lost answer
    EXPECT_FALSE(one.takes_orders(start + 2s));
    one.describe(1, 4, {}, start + 1s + placing::report_delay);
    EXPECT_TRUE(one.takes_orders(start + 3s));
}

TEST(ledger, a_loading_model_takes_its_room_but_serves_nobody_yet) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    one.sent({"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.answered(target_ledger::answer::accepted, start);
    EXPECT_TRUE(one.models().contains("m0"));
    EXPECT_TRUE(one.loading(start + 5s).contains("m0"));
    EXPECT_FALSE(one.takes_orders(start + 5s));
    one.describe(1, 5, {}, start + 1s); // a report during the load lists it nowhere
    EXPECT_TRUE(one.models().contains("m0"));
    EXPECT_TRUE(one.loading(start + 6s).empty());
    EXPECT_TRUE(one.wants_report(start + 6s)); // the weight store may be slower than foretold
    EXPECT_TRUE(one.store_load_under_way(start + 6s));
    one.confirm({{"m0", {}}}, start + 6s);
    EXPECT_FALSE(one.wants_report(start + 6s));
    EXPECT_FALSE(one.store_load_under_way(start + 6s));
}

TEST(ledger, another_start_holds_nothing) {
    target_ledger one;
    one.describe(1, 4, {{"m0", {}}}, start);
    one.describe(2, 0, {}, start + 1s);
    EXPECT_TRUE(one.models().empty());
    EXPECT_EQ(one.sequence(), 0);
}

namespace {

/// A target as the protocol describes it: checks the expected number when an order is carried out.
struct simulated_target {
    std::int64_t sequence = 1;
    std::set<std::string> models;
    time_point busy_until{};
    struct late_order {
        time_point at;
        planned_order order;
        std::int64_t expected;
    };
    std::vector<late_order> late;

    bool accept(const planned_order& order, std::int64_t expected, time_point now) {
        if (expected != sequence || now < busy_until)
            return false;
        ++sequence;
        if (order.load) {
            models.insert(order.what.model);
            busy_until = now + 700ms;
        } else {
            models.erase(order.what.model);
        }
        RC_ASSERT(models.size() * 72'700.0 <= 230'000.0);
        return true;
    }
    void pass_time(time_point now) {
        std::erase_if(late, [&](const late_order& one) {
            if (one.at > now)
                return false;
            accept(one.order, one.expected, now);
            return true;
        });
    }
};

} // namespace

RC_GTEST_PROP(placing, no_target_is_ordered_beyond_its_memory_when_answers_are_lost_or_late,
              (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    const auto spec = engine(10);
    std::vector<simulated_target> real(3);
    std::vector<target_ledger> known(3);
    std::vector<std::set<std::string>> copies(3);
    time_point now = start;
    for (int step = 0; step < 600; ++step) {
        now += 100ms;
        planner_input in{&spec, {}, {}, 0};
        for (std::size_t at = 0; at < real.size(); ++at) {
            real[at].pass_time(now);
            if (random() % 5 == 0) {
                std::map<std::string, std::vector<std::string>> held;
                for (const auto& model : real[at].models)
                    held[model];
                known[at].describe(1, real[at].sequence, held, now);
            }
            target_state state;
            state.id = std::to_string(at);
            state.takes_orders = known[at].takes_orders(now);
            state.loading = known[at].loading(now);
            for (const auto& [model, adapters] : known[at].models())
                state.models[model].last_used = known[at].loaded_at(model);
            state.copies_on_disk = copies[at];
            in.targets.push_back(state);
        }
        in.demands[{"m" + std::to_string(random() % 10), ""}] = waiting(1);
        for (const planned_order& order : placing::plan(in, limits, now)) {
            const auto at = std::stoul(order.target);
            const auto expected = known[at].sequence();
            known[at].sent(order, 700ms, now);
            const auto luck = random() % 10;
            if (luck < 2) { // no answer, carried out seconds later if its number still holds
                real[at].late.push_back(
                    {now + 2s + std::chrono::milliseconds{random() % 10'000}, order, expected});
                known[at].answered(target_ledger::answer::unknown, now);
                continue;
            }
            const bool taken = real[at].accept(order, expected, now);
            if (luck < 3) { // carried out, and the answer lost
                known[at].answered(target_ledger::answer::unknown, now);
                continue;
            }
            known[at].answered(taken ? target_ledger::answer::accepted : target_ledger::answer::rejected,
                               now);
            if (taken && order.load)
                copies[at].insert(order.what.model);
        }
    }
}

// On Cámara's quiet day half of all loads met the unload before them and then waited a second for a report.
TEST(ledger, a_target_still_at_its_unload_is_asked_again_soon) {
    target_ledger one;
    one.describe(1, 4, {{"m0", {}}}, start);
    one.sent({"t1", false, {"m0", ""}, false, ""}, 25ms, start);
    one.answered(target_ledger::answer::accepted, start);
    one.sent({"t1", true, {"m1", ""}, false, ""}, 800ms, start);
    one.answered(target_ledger::answer::rejected, start + 10ms);
    EXPECT_FALSE(one.takes_orders(start + 10ms));
    EXPECT_TRUE(one.takes_orders(start + 10ms + placing::busy_pause));
    one.sent({"t1", true, {"m1", ""}, false, ""}, 800ms, start + 700ms);
    one.answered(target_ledger::answer::rejected, start + 700ms);
    EXPECT_TRUE(one.wants_report(start + 700ms)); // too long for an unload: the number may differ
}

TEST(ledger, a_long_load_that_takes_longer_than_foretold_is_not_ready) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    one.sent({"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.answered(target_ledger::answer::accepted, start);
    one.still_busy({}, start + 5'900ms, start + 6'900ms); // may be older than the foretold end
    EXPECT_TRUE(one.loading(start + 7s).empty());
    one.still_busy({}, start + 6'100ms, start + 7s);
    EXPECT_TRUE(one.loading(start + 7s).contains("m0"));
    EXPECT_TRUE(one.store_load_under_way(start + 7s));
    EXPECT_TRUE(one.wants_report(start + 7s));
    EXPECT_FALSE(one.takes_orders(start + 7s));
    const auto over = one.confirm({{"m0", {}}}, start + 7'300ms);
    ASSERT_EQ(over.size(), 1U);
    EXPECT_EQ(over.front().foretold, 6'000ms);
    EXPECT_EQ(over.front().taken, 7'300ms);
    EXPECT_TRUE(one.loading(start + 7'300ms).empty()) << "a report lists it";
}

TEST(store_pace_of, a_weight_store_that_is_slower_beside_others_gets_fewer_loads) {
    placing::store_pace pace;
    EXPECT_EQ(pace.limit(4), 4);
    for (int load = 0; load < 4; ++load) // all four began together and tell the same
        pace.finished(7'800ms, 15'900ms, 4, start + 1ms * load);
    EXPECT_EQ(pace.limit(4), 2);
    pace.finished(7'800ms, 8'300ms, 4, start + 9s);
    EXPECT_EQ(pace.limit(4), 2) << "not tried again at once";
}

TEST(store_pace_of, a_store_at_full_speed_keeps_its_limit_and_one_that_recovers_gets_more) {
    placing::store_pace pace;
    pace.finished(6'000ms, 6'900ms, 4, start);
    EXPECT_EQ(pace.limit(4), 4) << "a report shows the end late";
    pace.finished(6'000ms, 24s, 4, start + 30s);
    EXPECT_EQ(pace.limit(4), 1);
    for (auto at = 36s; at < 200s; at += 6s)
        pace.finished(6'000ms, 6'300ms, 4, start + at);
    EXPECT_EQ(pace.limit(4), 4);
    EXPECT_EQ(pace.limit(2), 2) << "never beyond the setting";
}

TEST(ledger, a_long_load_that_no_report_lists_has_failed) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    one.sent({"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.answered(target_ledger::answer::accepted, start);
    one.describe(1, 5, {}, start + 7s);
    EXPECT_TRUE(one.models().contains("m0"));
    one.describe(1, 5, {}, start + 6s + placing::long_load);
    EXPECT_FALSE(one.models().contains("m0"));
    EXPECT_TRUE(one.takes_orders(start + 9s));
}
