// Orders to targets: what is loaded for whom, and that no target is ever ordered beyond its memory, also when
// answers are lost and orders are carried out late.
#include "core/load_planning/planner.hpp"
#include "core/load_planning/target_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using fleet::model_ref;
using load_planning::planned_order;
using load_planning::planner_input;
using load_planning::target_ledger;
using load_planning::target_state;

namespace {

constexpr time_point start{100s};
constexpr load_planning::planner_limits limits;

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

load_planning::demand waiting(int count, int priority = 1) {
    load_planning::demand out;
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

TEST(planner_input, what_several_gateways_tell_is_added_up) {
    load_planning::demand sum;
    load_planning::add_demand(sum, {0, {}, 9, 1.5, 2}); // nothing waits: its priority says nothing
    load_planning::add_demand(sum, {2, start + 1s, 7, 0.5, 0});
    load_planning::add_demand(sum, {1, start, 8, 0, 1});
    EXPECT_EQ(sum.waiting, 3);
    EXPECT_EQ(sum.oldest, start);
    EXPECT_EQ(sum.priority, 7);
    EXPECT_DOUBLE_EQ(sum.per_second, 2.0);
    EXPECT_EQ(sum.running, 3);
}

TEST(planner_input,
     use_counts_for_the_target_the_model_and_the_adapter_and_nowhere_if_the_target_is_unknown) {
    planner_input in{nullptr, {target("t1", {"m0"}), target("t2", {"m0", "m1"})}, {}, 0};
    in.targets[1].adapters[{"m0", "a1"}];
    load_planning::add_use(in, "t2", {"m0", "a1"}, {3, start});
    load_planning::add_use(in, "t3", {"m0", "a1"}, {5, start});
    EXPECT_EQ(in.targets[0].running, 0);
    EXPECT_EQ(in.targets[1].running, 3);
    EXPECT_EQ(in.targets[1].models.at("m0").running, 3);
    EXPECT_EQ(in.targets[1].models.at("m0").last_used, start);
    EXPECT_EQ((in.targets[1].adapters.at({"m0", "a1"}).running), 3);
    EXPECT_EQ((in.demands.at({"m0", "a1"}).running), 3);
}

TEST(planner, a_rare_model_is_loaded_where_a_copy_is_at_hand) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1"}), target("t2", {"m2", "m3"})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m7");
    in.demands[{"m7", ""}] = waiting(1);
    const auto orders = load_planning::plan(in, limits, start);
    const auto* order = order_for(orders, "t2");
    ASSERT_NE(order, nullptr);
    EXPECT_TRUE(order->load);
    EXPECT_EQ(order->what.model, "m7");
    EXPECT_FALSE(order->from_weight_store);
}

// On a calm day of Cámara a model was fetched for six seconds while its copy's target was busy for a moment.
TEST(planner, a_copy_at_a_target_that_is_busy_for_a_moment_is_waited_for) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m1");
    in.targets[1].takes_orders = false;
    in.targets[1].takes_orders_at = start + 500ms;
    in.demands[{"m1", ""}] = waiting(1);
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
    in.targets[1].takes_orders_at = start + 5'500ms; // no sooner than the weight store
    const auto orders = load_planning::plan(in, limits, start);
    ASSERT_NE(order_for(orders, "t1"), nullptr);
    EXPECT_TRUE(order_for(orders, "t1")->from_weight_store);
}

TEST(planner, a_target_that_takes_no_orders_for_an_unknown_time_gets_none) {
    const auto spec = engine(1);
    planner_input in{&spec, {target("t1", {})}, {}, 0};
    in.targets[0].copies_on_disk.insert("m0");
    in.targets[0].takes_orders = false; // its registration has lapsed
    in.demands[{"m0", ""}] = waiting(1);
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
    in.targets[0].takes_orders_at = start; // past
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
}

TEST(planner, models_that_wait_for_the_same_target_wait_for_each_other) {
    auto spec = engine(9);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {})}, {}, 0};
    in.targets[1].takes_orders = false;
    in.targets[1].takes_orders_at = start + 500ms;
    for (int at = 1; at < 9; ++at) {
        in.targets[1].copies_on_disk.insert("m" + std::to_string(at));
        in.demands[{"m" + std::to_string(at), ""}] = waiting(1);
    }
    const auto orders = load_planning::plan(in, limits, start);
    ASSERT_NE(order_for(orders, "t1"), nullptr)
        << "six loads of 0.84 s after 0.5 s leave no time for the rest";
    EXPECT_TRUE(order_for(orders, "t1")->from_weight_store);
}

TEST(planner, a_request_that_has_waited_long_for_a_busy_target_is_served_from_the_weight_store) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m1");
    in.targets[1].takes_orders = false;
    in.targets[1].takes_orders_at = start + 7s;
    in.demands[{"m1", ""}] = waiting(1); // since `start`
    const auto orders = load_planning::plan(in, limits, start + 6s + 1ms);
    ASSERT_NE(order_for(orders, "t1"), nullptr);
}

TEST(planner, a_copy_at_hand_is_loaded_though_the_weight_store_is_at_it) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {})}, {}, 1};
    in.targets[0].models["m1"];
    in.targets[0].coming["m1"] = start + 5s;
    in.targets[0].takes_orders = false;
    in.targets[0].takes_orders_at = start + 5s;
    in.targets[1].copies_on_disk.insert("m1");
    in.demands[{"m1", ""}] = waiting(1);
    const auto orders = load_planning::plan(in, limits, start);
    ASSERT_NE(order_for(orders, "t2"), nullptr);
    EXPECT_EQ(order_for(orders, "t2")->what.model, "m1");
    in.targets[0].coming["m1"] = start + 800ms;
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty()) << "it is there as soon";
}

TEST(planner, a_full_target_first_unloads_what_nobody_uses) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1", "m2"})}, {}, 0};
    in.targets[0].copies_on_disk.insert("m7");
    in.targets[0].models["m0"].running = 1;
    in.demands[{"m1", ""}].per_second = 3;
    in.demands[{"m7", ""}] = waiting(1);
    const auto orders = load_planning::plan(in, limits, start);
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
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
}

TEST(planner, models_without_a_copy_are_fetched_while_the_weight_store_idles_and_no_more) {
    const auto spec = engine(12);
    planner_input in{&spec, {}, {}, 1};
    for (int at = 0; at < 8; ++at)
        in.targets.push_back(target("t" + std::to_string(at), {}));
    const auto orders = load_planning::plan(in, limits, start);
    EXPECT_EQ(
        std::count_if(orders.begin(), orders.end(), [](const auto& one) { return one.from_weight_store; }),
        limits.parallel_store_loads - 1);
}

TEST(planner, a_busy_model_gets_another_replica) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {"m1"})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m0");
    in.demands[{"m0", ""}].running = limits.requests_per_replica + 1;
    const auto orders = load_planning::plan(in, limits, start);
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
    auto orders = load_planning::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].load);
    EXPECT_EQ(orders[0].what, (model_ref{"m0", "a3"}));
    in.targets[0].adapters.erase({"m0", "a3"});
    orders = load_planning::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(orders[0].load);
    EXPECT_EQ(orders[0].what, (model_ref{"m0", "a9"}));
}

TEST(planner, targets_that_leave_or_are_taken_out_get_no_model) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {})}, {}, 0};
    in.targets[0].serves = false;
    in.demands[{"m0", ""}] = waiting(1);
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
}

namespace {

/// An order on its way to a target.
struct sent_order {
    time_point arrives{};
    std::int64_t number = 0;
    planned_order order;
    std::int64_t expected = 0;
    bool loses_answer = false;
};

struct answer_on_its_way {
    time_point arrives{};
    std::int64_t number = 0;
    target_ledger::answer what = target_ledger::answer::unknown;
};

struct target_report {
    time_point made{};
    std::int64_t sequence = 0;
    bool busy = false;
    std::map<std::string, std::vector<std::string>> models;
};

/// A target as the protocol describes it: checks the expected number when an order is carried out, and
/// reports what it held some time ago.
struct simulated_target {
    std::int64_t sequence = 1;
    std::set<std::string> models;
    std::set<model_ref> adapters;
    time_point busy_until{};
    std::deque<target_report> reports; // oldest first, not older than report_delay
    std::vector<sent_order> orders;
    std::vector<answer_on_its_way> answers;

    bool accept(const planned_order& order, std::int64_t expected, const fleet::engine_spec& spec,
                time_point now) {
        if (expected != sequence || now < busy_until)
            return false;
        ++sequence;
        carry_out(order, now);
        RC_ASSERT(static_cast<double>(models.size()) * 72'700.0 <= spec.megabytes);
        RC_ASSERT(static_cast<int>(adapters.size()) <= spec.adapter_places);
        return true;
    }
    void carry_out(const planned_order& order, time_point now) {
        if (!order.what.adapter.empty() && order.load) {
            adapters.insert(order.what);
        } else if (!order.what.adapter.empty()) {
            adapters.erase(order.what);
        } else if (order.load) {
            models.insert(order.what.model);
            busy_until = now + 700ms;
        } else {
            models.erase(order.what.model);
            std::erase_if(adapters, [&](const model_ref& one) { return one.model == order.what.model; });
        }
    }
    void pass_time(const fleet::engine_spec& spec, time_point now) {
        std::erase_if(orders, [&](const sent_order& one) {
            if (one.arrives > now)
                return false;
            const bool taken = accept(one.order, one.expected, spec, now);
            if (!one.loses_answer)
                answers.push_back(
                    {now + 200ms, one.number,
                     taken ? target_ledger::answer::accepted : target_ledger::answer::rejected});
            return true;
        });
        target_report report{now, sequence, now < busy_until, {}};
        for (const auto& model : models)
            report.models[model];
        for (const auto& [model, adapter] : adapters)
            report.models[model].push_back(adapter);
        reports.push_back(std::move(report));
        while (reports.front().made + load_planning::report_delay < now)
            reports.pop_front();
    }
    /// Tells a ledger the answers that have arrived.
    void deliver_answers(target_ledger& to, time_point now) {
        std::erase_if(answers, [&](const answer_on_its_way& one) {
            if (one.arrives > now)
                return false;
            to.note_answer(one.number, one.what, now);
            return true;
        });
    }
};

void tell_report(target_ledger& to, const target_report& report, time_point now) {
    const time_point as_of = now - load_planning::report_delay;
    if (report.busy)
        to.note_busy(report.models, as_of, now);
    else
        to.describe(1, report.sequence, report.models, as_of);
}

/// What the planner is told about a target.
target_state state_of(const target_ledger& known, std::size_t at, const std::set<std::string>& copies,
                      time_point now) {
    target_state out;
    out.id = std::to_string(at);
    out.takes_orders = known.takes_orders(now);
    out.takes_orders_at = known.takes_orders_at(now);
    out.coming = known.coming(now);
    out.copies_on_disk = copies;
    for (const auto& [model, adapters] : known.models()) {
        out.models[model].last_used = known.loaded_at(model);
        for (const std::string& adapter : adapters)
            out.adapters[{model, adapter}];
    }
    return out;
}

} // namespace

// Ledgers are forgotten now and then, as by an order giver that lost its lease or by an entry that lapsed,
// while orders of before and their answers are still on their way.
RC_GTEST_PROP(placing, no_target_is_ordered_beyond_its_memory_when_answers_are_lost_or_late,
              (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    auto spec = engine(10);
    spec.adapter_places = 2;
    std::vector<simulated_target> real(3);
    std::vector<target_ledger> known(3);
    std::vector<std::set<std::string>> copies(3);
    std::int64_t last_order = 0;
    time_point now = start;
    for (int step = 0; step < 600; ++step) {
        now += 100ms;
        planner_input in{&spec, {}, {}, 0};
        for (std::size_t at = 0; at < real.size(); ++at) {
            real[at].pass_time(spec, now);
            real[at].deliver_answers(known[at], now);
            if (random() % 20 == 0)
                known[at] = {};
            if (random() % 5 == 0)
                tell_report(known[at], real[at].reports[random() % real[at].reports.size()], now);
            in.targets.push_back(state_of(known[at], at, copies[at], now));
        }
        in.demands[{"m" + std::to_string(random() % 10), ""}] = waiting(1);
        in.demands[{"m0", "a" + std::to_string(random() % 6)}] = waiting(1);
        std::set<std::string> ordered;
        for (const planned_order& order : load_planning::plan(in, limits, now)) {
            RC_ASSERT(ordered.insert(order.target).second); // one order at a time
            const auto at = std::stoul(order.target);
            const auto luck = random() % 10;
            sent_order sent{now + std::chrono::milliseconds{random() % 400}, ++last_order, order,
                            known[at].sequence(), luck < 3};
            if (luck < 2) // carried out seconds later, if its number still holds
                sent.arrives = now + 2s + std::chrono::milliseconds{random() % 10'000};
            known[at].note_sent(sent.number, order, 700ms, now);
            if (sent.loses_answer)
                real[at].answers.push_back({now + 1'200ms, sent.number, target_ledger::answer::unknown});
            if (order.load && order.what.adapter.empty())
                copies[at].insert(order.what.model);
            real[at].orders.push_back(std::move(sent));
        }
    }
}
