// Contract tests of the agent with a plain service: no attempt runs twice, and refusals report whether it
// ran.
#include "contract/agent_fixture.hpp"

using namespace agent_testing;

namespace {

wire::run_request call(const std::string& id, const std::string& method, const std::string& path,
                       const std::string& body = "") {
    wire::run_request out;
    out.request_id = id;
    out.attempt = 1;
    out.customer = "norte";
    out.service_name = "libro-folios";
    out.remaining_ms = 2'000;
    out.method = method;
    out.path = path;
    out.body = body;
    out.fingerprint = body;
    return out;
}

class agent_with_service : public ::testing::Test {
protected:
    void SetUp() override {
        standins::service::service_options options;
        options.down_time = 200ms;
        service = std::make_unique<standins::service::service>(options);
        ASSERT_TRUE(service->start());
        settings.vm = "vm1";
        settings.data_centre = "a";
        settings.target = "ledger1";
        settings.service = "libro-folios";
        settings.kind = programs::agent::target_kind::plain;
        settings.listen = "127.0.0.1:0";
        settings.engine = service->address();
        settings.concurrency = 8;
        settings.ramp_start = 8;
        context.name = "agent-1";
        agent = std::make_unique<programs::agent::agent>(settings, context);
        ASSERT_TRUE(agent->start());
        router = std::make_unique<peer>(agent->port(), "router");
        await_up();
    }
    void await_up() {
        router->send(kind::watch_target, 1, wire::watch_target{});
        router->await_report([](const auto& report) { return report.load.limit > 0; });
    }
    outcome run(const wire::run_request& request) {
        router->send(kind::run_request, 7, request);
        return collect(*router, request.request_id, request.attempt);
    }

    programs::agent::agent_settings settings;
    edge::program_context context;
    std::unique_ptr<standins::service::service> service;
    std::unique_ptr<programs::agent::agent> agent;
    std::unique_ptr<peer> router;
};

struct service_fault {
    const char* name;
    json fault;
    wire::refusal::type reason;
    bool suspect;
    int runs; // as counted by the service
};

class agent_service_fault : public agent_with_service, public ::testing::WithParamInterface<service_fault> {};

} // namespace

TEST_F(agent_with_service, forwards_the_call_and_its_whole_answer) {
    auto request = call("r1", "POST", "/folios", R"({"shop":"Botica"})");
    const std::vector<std::pair<std::string, std::string>> headers{
        {"Content-Type", "application/json"}, {"Authorization", "Bearer wxk_a_b"}, {"X-Other", "wxk_a_b"}};
    for (const auto& [name, value] : headers) {
        wire::header_field field;
        field.name = name;
        field.value = value;
        request.headers.push_back(field);
    }
    const auto answer = run(request);
    ASSERT_TRUE(answer.finished.has_value());
    EXPECT_EQ(answer.finished->status, 201);
    EXPECT_EQ(answer.body, R"({"folio":1})");
    EXPECT_EQ(run(call("r2", "GET", "/folios/1")).finished->status, 200);
    EXPECT_EQ(run(call("r3", "GET", "/folios/2")).finished->status, 404);
    const auto repeated = run(request);
    EXPECT_EQ(repeated.body, answer.body);
    const json seen = audit(service->address());
    EXPECT_EQ(seen["runs_by_request"], (json{{"r1", 1}}));
    EXPECT_EQ(seen["keys_seen"], 0);
}

TEST_P(agent_service_fault, refusal_reports_whether_the_call_ran) {
    add_fault(service->address(), GetParam().fault);
    const auto answer = run(call("r1", "POST", "/folios", "{}"));
    ASSERT_TRUE(answer.refused.has_value());
    EXPECT_EQ(answer.refused->reason, GetParam().reason);
    EXPECT_EQ(answer.refused->ran, wire::run_state::unknown);
    EXPECT_EQ(answer.refused->suspect, GetParam().suspect);
    await_up();
    EXPECT_EQ(audit(service->address())["runs_by_request"].value("r1", 0), GetParam().runs);
    const auto repeated = run(call("r1", "POST", "/folios", "{}"));
    ASSERT_TRUE(repeated.refused.has_value()) << "the same attempt never runs again";
    EXPECT_EQ(audit(service->address())["runs_by_request"].value("r1", 0), GetParam().runs);
}

INSTANTIATE_TEST_SUITE_P(
    table, agent_service_fault,
    ::testing::Values(
        service_fault{"answer_lost", {{"kind", "answer_lost"}}, wire::refusal::target_failed, false, 1},
        service_fault{"crash_before", {{"kind", "crash"}}, wire::refusal::target_failed, true, 0},
        service_fault{"crash_after", {{"kind", "crash_after"}}, wire::refusal::target_failed, true, 1},
        service_fault{"too_slow",
                      {{"kind", "slow"}, {"delay_ms", 4'000}},
                      wire::refusal::deadline_too_short,
                      false,
                      1}),
    [](const auto& one) { return std::string{one.param.name}; });

TEST_F(agent_with_service, unreachable_service_is_refused_as_not_run) {
    service.reset();
    const auto answer = run(call("r1", "POST", "/folios", "{}"));
    ASSERT_TRUE(answer.refused.has_value());
    EXPECT_EQ(answer.refused->reason, wire::refusal::target_failed);
    EXPECT_EQ(answer.refused->ran, wire::run_state::not_run);
}

TEST_F(agent_with_service, load_orders_are_refused) {
    wire::load_order order;
    order.model = "m1";
    order.bytes = 1;
    router->send(kind::load_order, 1, order);
    EXPECT_EQ(router->expect<wire::order_result>(kind::order_result).reason, wire::refusal::bad_message);
}
