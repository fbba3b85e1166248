// Contract tests of orders with engine faults: memory is accounted for whatever the outcome of an order.
#include "contract/agent_fixture.hpp"

using namespace agent_testing;

namespace {

struct load_fault {
    const char* name;
    std::vector<json> faults;
    wire::refusal::type reason; // expected in the order's result
    const char* state;
};

void expect_never_overcommitted(const std::string& engine) {
    const json seen = audit(engine);
    EXPECT_EQ(seen["overcommit_attempts"], 0);
    EXPECT_LE(seen["max_used_bytes"], seen["memory_bytes"]);
    EXPECT_EQ(seen["old_orders"], 0);
}

} // namespace

class agent_load_fault : public agent_with_engine, public ::testing::WithParamInterface<load_fault> {};

TEST_P(agent_load_fault, is_resolved_and_the_model_can_be_loaded_afterwards) {
    for (const json& fault : GetParam().faults)
        add_fault(engine->address(), fault);
    const auto first = load("m1", 60);
    EXPECT_EQ(first.reason, GetParam().reason);
    EXPECT_EQ(first.state, GetParam().state);
    steward->await_report(
        [](const auto& report) { return report.load.limit > 0 && report.free_bytes >= 40; });
    EXPECT_EQ(load("m1", 60, 2).state, "loaded");
    const auto second = load("m2", 60, 3);
    EXPECT_EQ(second.reason, wire::refusal::no_memory) << "m1 is too young to be evicted";
    EXPECT_EQ(second.free_bytes, 40);
    EXPECT_EQ(unload("m1", 4).state, "absent");
    EXPECT_EQ(load("m2", 60, 5).state, "loaded");
    expect_never_overcommitted(engine->address());
}

INSTANTIATE_TEST_SUITE_P(
    table, agent_load_fault,
    ::testing::Values(
        load_fault{"slow", {{{"kind", "load_slow"}, {"delay_ms", 300}}}, wire::refusal::none, "loaded"},
        load_fault{"answer_lost", {{{"kind", "load_lost"}}}, wire::refusal::none, "loaded"},
        load_fault{"answer_lost_and_state_silent",
                   {{{"kind", "load_lost"}}, {{"kind", "state_silent"}, {"count", 2}}},
                   wire::refusal::none,
                   "loaded"},
        load_fault{"failed", {{{"kind", "load_fail"}}}, wire::refusal::target_failed, "absent"},
        load_fault{"crash", {{{"kind", "crash_on_load"}}}, wire::refusal::target_failed, "absent"},
        load_fault{"unload_answer_lost",
                   {{{"kind", "unload_lost"}, {"match", "m1"}}},
                   wire::refusal::none,
                   "loaded"}),
    [](const auto& one) { return std::string{one.param.name}; });

/// Point in a load or an unload at which the agent is killed.
struct kill_point {
    const char* name;
    std::vector<json> faults;
    bool until_loaded;  // killed after the load's result, else during the load
    bool during_unload; // an unload is ordered before the kill
    const char* state;  // of m1 as reported by the next agent
};

class agent_killed : public agent_with_engine, public ::testing::WithParamInterface<kill_point> {};

TEST_P(agent_killed, successor_accounts_for_all_engine_memory) {
    for (const json& fault : GetParam().faults)
        add_fault(engine->address(), fault);
    wire::load_order order;
    order.model = "m1";
    order.version = "1";
    order.bytes = 60;
    order.remaining_ms = 10'000;
    steward->send(kind::load_order, 1, order);
    if (GetParam().until_loaded)
        steward->expect<wire::order_result>(kind::order_result);
    else
        steward->await_report([](const auto& report) { return !report.models.empty(); });
    if (GetParam().during_unload)
        unload("m1", 2);
    agent.reset();
    router.reset();
    steward.reset();
    start_agent();
    const std::string expected = GetParam().state;
    const auto report = steward->await_report([&](const auto& seen) {
        return seen.load.limit > 0 && seen.models.empty() == (expected == "absent");
    });
    EXPECT_EQ(report.models.empty() ? "absent" : report.models[0].state, expected);
    if (expected == "absent")
        EXPECT_EQ(load("m2", 60, 3).state, "loaded");
    else
        EXPECT_EQ(load("m2", 60, 3).reason, wire::refusal::no_memory);
    expect_never_overcommitted(engine->address());
}

INSTANTIATE_TEST_SUITE_P(
    table, agent_killed,
    ::testing::Values(
        kill_point{"while_loading", {{{"kind", "load_slow"}, {"delay_ms", 400}}}, false, false, "loaded"},
        kill_point{"after_load", {}, true, false, "loaded"},
        kill_point{"load_answer_lost", {{{"kind", "load_lost"}}}, true, false, "loaded"},
        kill_point{"load_failed", {{{"kind", "load_fail"}}}, true, false, "absent"},
        kill_point{"unload_answer_lost", {{{"kind", "unload_lost"}, {"match", "m1"}}}, true, true, "absent"},
        kill_point{"after_unload", {}, true, true, "absent"}),
    [](const auto& one) { return std::string{one.param.name}; });

TEST_F(agent_with_engine, refuses_stale_orders_when_the_engine_ignores_fencing) {
    add_fault(engine->address(), {{"kind", "ignore_fencing"}});
    ASSERT_EQ(load("m1", 30, 5, 3).state, "loaded");
    ASSERT_EQ(unload("m1", 6, 3).state, "absent");
    EXPECT_EQ(load("m1", 30, 5, 3).reason, wire::refusal::old_fencing) << "older decision";
    EXPECT_EQ(load("m1", 30, 7, 2).reason, wire::refusal::old_fencing) << "older fencing number";
    EXPECT_EQ(audit(engine->address())["loads"], 1);
    EXPECT_EQ(load("m1", 30, 7, 3).state, "loaded");
}

TEST_F(agent_with_engine, engine_that_checks_fencing_rejects_orders_of_an_earlier_agent) {
    const std::int64_t former = (agent->boot() - 1) * 1'000;
    json order{{"model", "ghost"}, {"version", "1"}, {"bytes", 50}, {"fencing", former}};
    EXPECT_EQ(http("POST", engine->address(), "/load", order.dump()).status, 409);
    EXPECT_EQ(audit(engine->address())["loads"], 0);
}

TEST_F(agent_with_engine, memory_of_a_late_order_is_counted_when_the_engine_ignores_fencing) {
    add_fault(engine->address(), {{"kind", "ignore_fencing"}});
    json order{{"model", "ghost"}, {"version", "1"}, {"bytes", 50}, {"fencing", 1}};
    EXPECT_EQ(http("POST", engine->address(), "/load", order.dump()).status, 200);
    steward->await_report([](const auto& seen) { return seen.free_bytes == 50 && seen.models.size() == 1; });
    EXPECT_EQ(load("m1", 60).reason, wire::refusal::no_memory);
}

TEST_F(agent_with_engine, duplicate_load_orders_share_one_load) {
    add_fault(engine->address(), {{"kind", "load_slow"}, {"delay_ms", 200}});
    wire::load_order order;
    order.model = "m1";
    order.bytes = 60;
    for (int call : {1, 2})
        steward->send(kind::load_order, call, order);
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(steward->expect<wire::order_result>(kind::order_result).state, "loaded");
    EXPECT_EQ(audit(engine->address())["loads"], 1);
}

TEST_F(agent_with_engine, malformed_orders_are_refused) {
    EXPECT_EQ(load("", 10).reason, wire::refusal::bad_message);
    EXPECT_EQ(load("m1", -5).reason, wire::refusal::bad_message);
    EXPECT_EQ(load("m1", 101).reason, wire::refusal::no_memory);
    EXPECT_EQ(load("m1", std::numeric_limits<std::int64_t>::max()).reason, wire::refusal::no_memory);
    EXPECT_EQ(unload("", 1).reason, wire::refusal::bad_message);
    expect_never_overcommitted(engine->address());
}

TEST_F(agent_with_engine, models_are_dropped_after_an_engine_restart) {
    ASSERT_EQ(load("m1", 60).state, "loaded");
    add_fault(engine->address(), {{"kind", "crash"}});
    const auto report =
        steward->await_report([](const auto& seen) { return seen.models.empty() && seen.free_bytes == 100; });
    EXPECT_GT(report.load.limit, 0);
    EXPECT_EQ(run(chat("r1", "hello")).refused->reason, wire::refusal::model_not_loaded);
    EXPECT_EQ(load("m2", 90, 2).state, "loaded");
    expect_never_overcommitted(engine->address());
}
