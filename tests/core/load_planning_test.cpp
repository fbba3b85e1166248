// Tests of the order planner: what it loads for which demand, and that no target is ever ordered beyond its
// memory, even if answers are lost and orders are carried out late.
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
    fleet::engine_spec spec;
    spec.slots = 64;
    spec.megabytes = 230'000;
    spec.adapter_places = 8;
    for (int i = 0; i < models; ++i) {
        fleet::model_spec model;
        model.name = "m" + std::to_string(i);
        model.megabytes = 72'700;
        model.adapter_megabytes = 66;
        model.adapters = i == 0 ? 20 : 0;
        model.store_load = 6'000ms;
        model.disk_load = 840ms;
        model.memory_load = 630ms;
        spec.models[model.name] = model;
    }
    return spec;
}

target_state target(const std::string& id, std::initializer_list<const char*> models) {
    target_state state;
    state.id = id;
    state.takes_orders = true;
    for (const char* model : models) {
        state.models[model].last_used = start - 10s;
        state.copies_on_disk.insert(model);
    }
    return state;
}

load_planning::demand waiting(int count, int priority = 1) {
    load_planning::demand result;
    result.waiting = count;
    result.oldest = start;
    result.priority = priority;
    return result;
}

const planned_order* order_for(const std::vector<planned_order>& orders, const std::string& id) {
    const auto found =
        std::find_if(orders.begin(), orders.end(), [&](const auto& order) { return order.target == id; });
    return found == orders.end() ? nullptr : &*found;
}

} // namespace

TEST(planner_input, demand_of_several_gateways_is_added_up) {
    load_planning::demand sum;
    load_planning::add_demand(sum, {0, {}, 9, 1.5, 2}); // nothing waits: the priority must not count
    load_planning::add_demand(sum, {2, start + 1s, 7, 0.5, 0});
    load_planning::add_demand(sum, {1, start, 8, 0, 1});
    EXPECT_EQ(sum.waiting, 3);
    EXPECT_EQ(sum.oldest, start);
    EXPECT_EQ(sum.priority, 7);
    EXPECT_DOUBLE_EQ(sum.per_second, 2.0);
    EXPECT_EQ(sum.running, 3);
}

TEST(planner_input, use_counts_for_target_model_and_adapter_and_is_ignored_for_an_unknown_target) {
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

TEST(planner, a_rare_model_is_loaded_at_a_target_with_a_copy) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1"}), target("t2", {"m2", "m3"})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m7");
    in.demands[{"m7", ""}] = waiting(1);
    const auto orders = load_planning::plan(in, limits, start);
    const auto* order = order_for(orders, "t2");
    ASSERT_NE(order, nullptr);
    EXPECT_TRUE(order->load);
    EXPECT_EQ(order->ref.model, "m7");
    EXPECT_FALSE(order->from_weight_store);
}

// Guards against a six-second load from the weight store while the target with a copy is busy for a moment
// only; seen in a run of Cámara's calm day.
TEST(planner, waits_for_a_target_with_a_copy_that_is_briefly_busy) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m1");
    in.targets[1].takes_orders = false;
    in.targets[1].takes_orders_at = start + 500ms;
    in.demands[{"m1", ""}] = waiting(1);
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
    in.targets[1].takes_orders_at = start + 5'500ms; // no earlier than a load from the weight store ends
    const auto orders = load_planning::plan(in, limits, start);
    ASSERT_NE(order_for(orders, "t1"), nullptr);
    EXPECT_TRUE(order_for(orders, "t1")->from_weight_store);
}

TEST(planner, a_target_that_takes_no_orders_for_an_unknown_time_gets_no_order) {
    const auto spec = engine(1);
    planner_input in{&spec, {target("t1", {})}, {}, 0};
    in.targets[0].copies_on_disk.insert("m0");
    in.targets[0].takes_orders = false; // its registration has lapsed
    in.demands[{"m0", ""}] = waiting(1);
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
    in.targets[0].takes_orders_at = start; // past
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
}

TEST(planner, loads_that_wait_for_the_same_target_are_counted_one_after_the_other) {
    auto spec = engine(9);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {})}, {}, 0};
    in.targets[1].takes_orders = false;
    in.targets[1].takes_orders_at = start + 500ms;
    for (int i = 1; i < 9; ++i) {
        in.targets[1].copies_on_disk.insert("m" + std::to_string(i));
        in.demands[{"m" + std::to_string(i), ""}] = waiting(1);
    }
    const auto orders = load_planning::plan(in, limits, start);
    ASSERT_NE(order_for(orders, "t1"), nullptr)
        << "six loads of 0.84 s after 0.5 s leave no time for the rest";
    EXPECT_TRUE(order_for(orders, "t1")->from_weight_store);
}

TEST(planner, after_a_long_wait_for_a_busy_target_the_model_is_loaded_from_the_weight_store) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"}), target("t2", {})}, {}, 0};
    in.targets[1].copies_on_disk.insert("m1");
    in.targets[1].takes_orders = false;
    in.targets[1].takes_orders_at = start + 7s;
    in.demands[{"m1", ""}] = waiting(1); // since `start`
    const auto orders = load_planning::plan(in, limits, start + 6s + 1ms);
    ASSERT_NE(order_for(orders, "t1"), nullptr);
}

TEST(planner, a_copy_is_loaded_while_a_slower_store_load_of_the_model_is_under_way) {
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
    EXPECT_EQ(order_for(orders, "t2")->ref.model, "m1");
    in.targets[0].coming["m1"] = start + 800ms;
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty()) << "the load under way ends as early";
}

TEST(planner, a_full_target_first_unloads_an_unused_model) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1", "m2"})}, {}, 0};
    in.targets[0].copies_on_disk.insert("m7");
    in.targets[0].models["m0"].running = 1;
    in.demands[{"m1", ""}].per_second = 3;
    in.demands[{"m7", ""}] = waiting(1);
    const auto orders = load_planning::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].load);
    EXPECT_EQ(orders[0].ref.model, "m2");
}

TEST(planner, a_model_in_use_or_with_waiting_requests_is_not_unloaded) {
    const auto spec = engine(8);
    planner_input in{&spec, {target("t1", {"m0", "m1", "m2"})}, {}, 0};
    in.targets[0].models["m0"].running = 1;
    in.targets[0].models["m1"].last_used = start; // just loaded
    in.demands[{"m2", ""}] = waiting(2);
    in.demands[{"m7", ""}] = waiting(1);
    EXPECT_TRUE(load_planning::plan(in, limits, start).empty());
}

TEST(planner, models_without_a_copy_are_loaded_up_to_the_limit_of_parallel_store_loads) {
    const auto spec = engine(12);
    planner_input in{&spec, {}, {}, 1};
    for (int i = 0; i < 8; ++i)
        in.targets.push_back(target("t" + std::to_string(i), {}));
    const auto orders = load_planning::plan(in, limits, start);
    EXPECT_EQ(std::count_if(orders.begin(), orders.end(),
                            [](const auto& order) { return order.from_weight_store; }),
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
    EXPECT_EQ(order->ref.model, "m0");
}

TEST(planner, an_adapter_is_loaded_beside_its_model_after_an_idle_one_is_unloaded) {
    const auto spec = engine(2);
    planner_input in{&spec, {target("t1", {"m0"})}, {}, 0};
    for (int i = 0; i < 8; ++i)
        in.targets[0].adapters[{"m0", "a" + std::to_string(i)}].running = i == 3 ? 0 : 1;
    in.demands[{"m0", "a9"}] = waiting(1);
    auto orders = load_planning::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].load);
    EXPECT_EQ(orders[0].ref, (model_ref{"m0", "a3"}));
    in.targets[0].adapters.erase({"m0", "a3"});
    orders = load_planning::plan(in, limits, start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(orders[0].load);
    EXPECT_EQ(orders[0].ref, (model_ref{"m0", "a9"}));
}

TEST(planner, models_whose_only_holder_is_leaving_are_loaded_elsewhere_in_order_of_demand) {
    const auto spec = engine(4);
    planner_input input;
    input.engine = &spec;
    input.targets = {target("t1", {"m0", "m1", "m2"}), target("t2", {"m3"})};
    input.targets[0].leaving = true;
    input.targets[0].serves = false;
    input.targets[1].copies_on_disk = {"m0", "m1", "m2", "m3"};
    input.demands[{"m0", ""}].per_second = 1;
    input.demands[{"m1", ""}].per_second = 5;
    input.demands[{"m3", ""}].per_second = 9;
    const auto orders = load_planning::plan(input, limits, start);
    const planned_order* order = order_for(orders, "t2");
    ASSERT_NE(order, nullptr);
    EXPECT_TRUE(order->load);
    EXPECT_EQ(order->ref.model, "m1");
    EXPECT_EQ(order_for(orders, "t1"), nullptr);

    // Without the notice nothing is moved while a holder serves.
    input.targets[0].leaving = false;
    input.targets[0].serves = true;
    EXPECT_EQ(order_for(load_planning::plan(input, limits, start), "t2"), nullptr);
}

TEST(planner, a_model_of_a_leaving_target_does_not_displace_the_only_replica_of_a_busier_one) {
    const auto spec = engine(4);
    planner_input input;
    input.engine = &spec;
    input.targets = {target("t1", {"m0"}), target("t2", {"m1", "m2", "m3"})};
    input.targets[0].leaving = true;
    input.targets[0].serves = false;
    input.targets[1].copies_on_disk.insert("m0");
    input.demands[{"m0", ""}].per_second = 1;
    for (const char* model : {"m1", "m2", "m3"})
        input.demands[{model, ""}].per_second = 2;
    EXPECT_EQ(order_for(load_planning::plan(input, limits, start), "t2"), nullptr);
    input.demands[{"m3", ""}].per_second = 0.5;
    const auto orders = load_planning::plan(input, limits, start);
    const planned_order* order = order_for(orders, "t2");
    ASSERT_NE(order, nullptr);
    EXPECT_FALSE(order->load);
    EXPECT_EQ(order->ref.model, "m3");
}

TEST(planner, copies_at_a_leaving_target_do_not_count_as_kept) {
    const auto spec = engine(1);
    planner_input input;
    input.engine = &spec;
    input.targets = {target("t1", {"m0"}), target("t2", {})};
    EXPECT_EQ(order_for(load_planning::plan(input, limits, start), "t2"), nullptr);
    input.targets[0].leaving = true;
    input.targets[0].serves = false;
    const auto orders = load_planning::plan(input, limits, start);
    const planned_order* order = order_for(orders, "t2");
    ASSERT_NE(order, nullptr);
    EXPECT_TRUE(order->from_weight_store);
}

TEST(planner, a_target_that_does_not_serve_gets_no_model) {
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
    target_ledger::answer result = target_ledger::answer::unknown;
};

struct target_report {
    time_point made{};
    std::int64_t sequence = 0;
    bool busy = false;
    std::map<std::string, std::vector<std::string>> models;
};

/// A target that follows the protocol: checks the expected number when an order is carried out, and reports
/// what it held up to report_delay ago.
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
        if (!order.ref.adapter.empty() && order.load) {
            adapters.insert(order.ref);
        } else if (!order.ref.adapter.empty()) {
            adapters.erase(order.ref);
        } else if (order.load) {
            models.insert(order.ref.model);
            busy_until = now + 700ms;
        } else {
            models.erase(order.ref.model);
            std::erase_if(adapters, [&](const model_ref& loaded) { return loaded.model == order.ref.model; });
        }
    }
    void pass_time(const fleet::engine_spec& spec, time_point now) {
        std::erase_if(orders, [&](const sent_order& sent) {
            if (sent.arrives > now)
                return false;
            const bool taken = accept(sent.order, sent.expected, spec, now);
            if (!sent.loses_answer)
                answers.push_back(
                    {now + 200ms, sent.number,
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
    /// Passes the answers that have arrived to a ledger.
    void deliver_answers(target_ledger& to, time_point now) {
        std::erase_if(answers, [&](const answer_on_its_way& answer) {
            if (answer.arrives > now)
                return false;
            to.note_answer(answer.number, answer.result, now);
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

/// The planner's input for a target.
target_state state_of(const target_ledger& known, std::size_t index, const std::set<std::string>& copies,
                      time_point now) {
    target_state state;
    state.id = std::to_string(index);
    state.takes_orders = known.takes_orders(now);
    state.takes_orders_at = known.takes_orders_at(now);
    state.coming = known.coming(now);
    state.copies_on_disk = copies;
    for (const auto& [model, adapters] : known.models()) {
        state.models[model].last_used = known.loaded_at(model);
        for (const std::string& adapter : adapters)
            state.adapters[{model, adapter}];
    }
    return state;
}

} // namespace

// Ledgers are reset at random, as after a lost lease of the order giver or a lapsed registration, while
// earlier orders and their answers are still under way.
RC_GTEST_PROP(load_planning, no_target_is_ordered_beyond_its_memory_when_answers_are_lost_or_late,
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
        for (std::size_t i = 0; i < real.size(); ++i) {
            real[i].pass_time(spec, now);
            real[i].deliver_answers(known[i], now);
            if (random() % 20 == 0)
                known[i] = {};
            if (random() % 5 == 0)
                tell_report(known[i], real[i].reports[random() % real[i].reports.size()], now);
            in.targets.push_back(state_of(known[i], i, copies[i], now));
        }
        in.demands[{"m" + std::to_string(random() % 10), ""}] = waiting(1);
        in.demands[{"m0", "a" + std::to_string(random() % 6)}] = waiting(1);
        std::set<std::string> ordered;
        for (const planned_order& order : load_planning::plan(in, limits, now)) {
            RC_ASSERT(ordered.insert(order.target).second); // at most one order for each target
            const auto i = std::stoul(order.target);
            const auto draw = random() % 10;
            sent_order sent{now + std::chrono::milliseconds{random() % 400}, ++last_order, order,
                            known[i].sequence(), draw < 3};
            if (draw < 2) // carried out seconds later, if its number is still current
                sent.arrives = now + 2s + std::chrono::milliseconds{random() % 10'000};
            known[i].note_sent(sent.number, order, 700ms, now);
            if (sent.loses_answer)
                real[i].answers.push_back({now + 1'200ms, sent.number, target_ledger::answer::unknown});
            if (order.load && order.ref.adapter.empty())
                copies[i].insert(order.ref.model);
            real[i].orders.push_back(std::move(sent));
        }
    }
}
