// Contract tests of requests: broken streams, interleaved and repeated messages, limits, crashes, drain.
#include "contract/agent_fixture.hpp"

#include <algorithm>

using namespace agent_testing;

namespace {

constexpr auto slow_token = 20ms;

class agent_with_slow_engine : public agent_with_engine {
protected:
    void SetUp() override {
        standins::engine::engine_options options;
        options.token_time = slow_token;
        begin(options);
        load("m1", 60);
    }
    void reload(std::int64_t decision) {
        steward->await_report([](const auto& seen) { return seen.models.empty() && seen.free_bytes == 100; });
        ASSERT_EQ(load("m1", 60, decision).state, "loaded");
    }
    wire::cancel_result cancel(const std::string& id, std::int64_t boot) {
        wire::cancel_request message;
        message.request_id = id;
        message.attempt = 1;
        message.agent_boot = boot;
        router->send(kind::cancel_request, 9, message);
        return router->expect<wire::cancel_result>(kind::cancel_result);
    }
    /// Sends a request and waits until its answer has begun.
    void start_answer(const wire::run_request& request) {
        router->send(kind::run_request, 1, request);
        router->expect<wire::run_chunk>(kind::run_chunk);
    }
    int runs(const std::string& id) { return audit(engine->address())["runs"].value(id, 0); }
};

} // namespace

TEST_F(agent_with_slow_engine, silent_stream_is_resumed_without_loss) {
    add_fault(engine->address(), {{"kind", "silent_stream"}});
    const auto answer = run(chat("r1", "a b c d e f", 6));
    ASSERT_TRUE(answer.finished.has_value());
    EXPECT_EQ(text_of(answer.body), "a b c d e f ");
    EXPECT_EQ(runs("r1"), 1);
}

TEST_F(agent_with_slow_engine, answer_is_resumed_over_another_link_from_an_offset) {
    start_answer(chat("r1", "a b c d e f g h", 8));
    peer second{agent->port(), "router"};
    wire::resume_request resume;
    resume.request_id = "r1";
    resume.attempt = 1;
    resume.offset = 10;
    second.send(kind::resume_request, 5, resume);
    const auto rest = collect(second, "r1", 1, 10);
    ASSERT_TRUE(rest.finished.has_value());
    resume.offset = 0;
    second.send(kind::resume_request, 6, resume);
    const auto full = collect(second, "r1");
    EXPECT_EQ(text_of(full.body), "a b c d e f g h ");
    EXPECT_EQ(full.body.substr(10), rest.body);
    wire::ack_request ack;
    ack.request_id = "r1";
    ack.attempt = 1;
    second.send(kind::ack_request, 7, ack);
    second.send(kind::resume_request, 8, resume);
    const auto after_ack = collect(second, "r1");
    ASSERT_TRUE(after_ack.refused.has_value());
    EXPECT_EQ(after_ack.refused->ran, wire::run_state::run);
}

TEST_F(agent_with_slow_engine, repeated_run_request_gets_the_kept_answer_and_runs_once) {
    const auto request = chat("r1", "a b c", 3);
    const auto first = run(request);
    const auto second = run(request);
    ASSERT_TRUE(second.finished.has_value());
    EXPECT_EQ(first.body, second.body);
    auto retry = request;
    retry.attempt = 2;
    EXPECT_TRUE(run(retry).finished.has_value());
    EXPECT_EQ(runs("r1"), 2) << "one run per attempt";
}

TEST_F(agent_with_slow_engine, interleaved_requests_each_get_their_own_answer) {
    constexpr int count = 30;
    for (int i = 0; i < count; ++i)
        router->send(kind::run_request, i, chat("r" + std::to_string(i), "mine" + std::to_string(i), 2));
    std::map<std::string, std::string> bodies;
    for (int finished = 0; finished < count && !HasFailure();) {
        const auto event = router->next_event();
        if (event.frame.header.kind == kind::run_chunk) {
            const auto chunk = edge::decode_body<wire::run_chunk>(event.frame.body).value();
            bodies[chunk.request_id] += chunk.data;
        }
        ASSERT_NE(event.frame.header.kind, kind::run_refused);
        finished += event.frame.header.kind == kind::run_finished ? 1 : 0;
    }
    for (int i = 0; i < count; ++i) {
        const std::string expected_word = "mine" + std::to_string(i) + " ";
        EXPECT_EQ(text_of(bodies["r" + std::to_string(i)]), expected_word + expected_word);
    }
}

TEST_F(agent_with_slow_engine, tombstone_prevents_a_late_request_from_running) {
    EXPECT_EQ(cancel("r1", agent->boot()).ran, wire::run_state::not_run);
    const auto late = run(chat("r1", "a"));
    ASSERT_TRUE(late.refused.has_value());
    EXPECT_EQ(late.refused->reason, wire::refusal::tombstoned);
    EXPECT_EQ(late.refused->ran, wire::run_state::not_run);
    EXPECT_EQ(cancel("r2", agent->boot() - 1).ran, wire::run_state::unknown)
        << "sent to an earlier agent process";
    start_answer(chat("r3", "a", 50));
    EXPECT_EQ(cancel("r3", agent->boot()).ran, wire::run_state::run);
    EXPECT_EQ(runs("r1"), 0);
}

TEST_F(agent_with_slow_engine, deadline_ends_a_running_request) {
    auto request = chat("r1", "a", 1'000);
    request.remaining_ms = 200;
    const auto answer = run(request);
    ASSERT_TRUE(answer.refused.has_value());
    EXPECT_EQ(answer.refused->reason, wire::refusal::deadline_too_short);
    EXPECT_EQ(answer.refused->ran, wire::run_state::run);
    steward->await_report([](const auto& seen) { return seen.load.running == 0; });
}

TEST_F(agent_with_slow_engine, bad_requests_are_refused_as_not_run) {
    auto no_time = chat("r1", "a");
    no_time.remaining_ms = -1;
    auto no_chat = chat("r2", "a");
    no_chat.body = "{\"messages\":7}";
    auto no_model = chat("r3", "a");
    no_model.model = "other";
    auto no_adapter = chat("r4", "a");
    no_adapter.adapter = "unheard-of";
    const std::vector<std::pair<wire::run_request, wire::refusal::type>> table{
        {no_time, wire::refusal::deadline_too_short},
        {no_chat, wire::refusal::bad_message},
        {no_model, wire::refusal::model_not_loaded},
        {no_adapter, wire::refusal::bad_message}};
    for (const auto& [request, reason] : table) {
        const auto answer = run(request);
        ASSERT_TRUE(answer.refused.has_value());
        EXPECT_EQ(answer.refused->reason, reason);
        EXPECT_EQ(answer.refused->ran, wire::run_state::not_run);
    }
}

TEST_F(agent_with_slow_engine, crash_marks_suspects_and_condemns_only_requests_that_crash_in_isolation) {
    start_answer(chat("innocent", "a b c", 200));
    router->send(kind::run_request, 2, chat("poison", "CRASH_ENGINE"));
    const auto report = steward->expect<wire::crash_report>(kind::crash_report);
    EXPECT_EQ(report.fingerprints.size(), 2U);
    EXPECT_FALSE(report.isolated);
    for (int i = 0; i < 2; ++i) {
        const auto refused = router->expect<wire::run_refused>(kind::run_refused);
        EXPECT_EQ(refused.reason, wire::refusal::target_failed);
        EXPECT_TRUE(refused.suspect);
        EXPECT_NE(refused.ran, wire::run_state::not_run);
    }
    reload(2);
    auto again = chat("poison-2", "CRASH_ENGINE");
    again.isolate = true;
    const auto alone = run(again);
    ASSERT_TRUE(alone.refused.has_value());
    EXPECT_EQ(alone.refused->reason, wire::refusal::target_failed);
    EXPECT_TRUE(steward->expect<wire::crash_report>(kind::crash_report).isolated);
    reload(3);
    auto harmless = chat("innocent-2", "a b c");
    harmless.isolate = true;
    EXPECT_TRUE(run(harmless).finished.has_value());
    const auto condemned = run(chat("poison-3", "CRASH_ENGINE"));
    ASSERT_TRUE(condemned.refused.has_value());
    EXPECT_EQ(condemned.refused->reason, wire::refusal::quarantined);
    EXPECT_EQ(condemned.refused->ran, wire::run_state::not_run);
    EXPECT_GT(condemned.refused->retry_after_ms, 0);
    EXPECT_EQ(audit(engine->address())["crashes"], 2);
}

TEST_F(agent_with_slow_engine, isolated_request_runs_alone) {
    start_answer(chat("beside", "a", 10));
    auto alone = chat("alone", "a", 3);
    alone.isolate = true;
    router->send(kind::run_request, 2, alone);
    router->send(kind::run_request, 3, chat("after", "a", 3));
    std::vector<std::string> order;
    while (order.size() < 3 && !HasFailure())
        order.push_back(router->expect<wire::run_finished>(kind::run_finished).request_id);
    EXPECT_EQ(order, (std::vector<std::string>{"beside", "alone", "after"}));
    EXPECT_EQ(audit(engine->address())["max_running"], 1);
}

TEST_F(agent_with_slow_engine, quarantine_notice_is_applied) {
    wire::quarantine_notice notice;
    notice.entries.resize(1);
    notice.entries[0].fingerprint = "bad";
    notice.entries[0].remaining_ms = 60'000;
    notice.entries[0].condemned = true;
    router->send(kind::quarantine_notice, 1, notice);
    EXPECT_EQ(run(chat("r1", "bad")).refused->reason, wire::refusal::quarantined);
}

TEST_F(agent_with_slow_engine, drain_finishes_running_requests_and_refuses_new_ones) {
    start_answer(chat("r1", "a b c", 30));
    context->stopping = true;
    EXPECT_TRUE(steward->await_report([](const auto& seen) { return seen.draining; }).load.draining);
    peer second_router{agent->port(), "router"};
    second_router.send(kind::run_request, 1, chat("r2", "a"));
    const auto refused = collect(second_router, "r2");
    ASSERT_TRUE(refused.refused.has_value());
    EXPECT_EQ(refused.refused->reason, wire::refusal::draining);
    EXPECT_EQ(refused.refused->ran, wire::run_state::not_run);
    EXPECT_EQ(router->expect<wire::run_finished>(kind::run_finished).request_id, "r1");
    agent->join();
}

namespace {

class agent_with_fresh_engine : public agent_with_engine {
protected:
    void SetUp() override {
        settings.ramp_step_every = 100ms;
        standins::engine::engine_options options;
        options.token_time = slow_token;
        begin(options);
    }
};

} // namespace

TEST_F(agent_with_fresh_engine, ramp_limit_holds_across_routers) {
    agent.reset();
    router.reset();
    steward.reset();
    settings.ramp_start = 2;
    settings.ramp_step_every = 60'000ms;
    start_agent();
    load("m1", 60);
    std::vector<std::unique_ptr<peer>> routers;
    for (int i = 0; i < 5; ++i)
        routers.push_back(std::make_unique<peer>(agent->port(), "router"));
    for (int i = 0; i < 20; ++i)
        routers[static_cast<std::size_t>(i % 5)]->send(kind::run_request, i,
                                                       chat("r" + std::to_string(i), "a", 3));
    for (int i = 0; i < 20; ++i)
        routers[static_cast<std::size_t>(i % 5)]->expect<wire::run_finished>(kind::run_finished);
    EXPECT_LE(audit(engine->address())["max_running"], 3)
        << "start limit 2 plus one step after the first success";
}

namespace {

class agent_with_one_slot : public agent_with_slow_engine {
protected:
    void SetUp() override {
        settings.concurrency = 1;
        settings.ramp_start = 1;
        agent_with_slow_engine::SetUp();
    }
};

} // namespace

TEST_F(agent_with_one_slot, waiting_request_is_refused_as_not_run_at_its_deadline) {
    start_answer(chat("long", "a", 100));
    auto short_deadline = chat("brief", "b");
    short_deadline.remaining_ms = 200;
    const auto answer = run(short_deadline);
    ASSERT_TRUE(answer.refused.has_value());
    EXPECT_EQ(answer.refused->reason, wire::refusal::deadline_too_short);
    EXPECT_EQ(answer.refused->ran, wire::run_state::not_run);
    EXPECT_EQ(runs("brief"), 0);
}

TEST_F(agent_with_one_slot, request_that_cannot_meet_its_deadline_is_refused_at_once_with_retry_after) {
    ASSERT_TRUE(
        run(chat("first", "a", 10)).finished.has_value()); // gives the agent a sample of the service time
    for (int i = 0; i < 5; ++i)
        router->send(kind::run_request, i, chat("r" + std::to_string(i), "a", 10));
    auto short_deadline = chat("hopeless", "b");
    short_deadline.remaining_ms = 100;
    router->send(kind::run_request, 9, short_deadline);
    for (;;) { // the refusal arrives before any other request has finished
        const auto event = router->next_event();
        ASSERT_NE(event.frame.header.kind, kind::run_finished);
        if (event.frame.header.kind != kind::run_refused)
            continue;
        const auto refused = edge::decode_body<wire::run_refused>(event.frame.body).value();
        EXPECT_EQ(refused.request_id, "hopeless");
        EXPECT_EQ(refused.reason, wire::refusal::overloaded);
        EXPECT_EQ(refused.ran, wire::run_state::not_run);
        EXPECT_GT(refused.retry_after_ms, 100);
        break;
    }
}

TEST_F(agent_with_one_slot, request_of_an_idle_customer_overtakes_the_backlog_of_another) {
    start_answer(chat("running", "a", 5));
    for (int i = 0; i < 5; ++i)
        router->send(kind::run_request, i, chat("backlog" + std::to_string(i), "a", 2));
    auto newcomer = chat("newcomer", "b", 2);
    newcomer.customer = "sur";
    router->send(kind::run_request, 9, newcomer);
    std::vector<std::string> order;
    while (order.size() < 4 && !HasFailure())
        order.push_back(router->expect<wire::run_finished>(kind::run_finished).request_id);
    const auto at = std::find(order.begin(), order.end(), "newcomer") - order.begin();
    EXPECT_LE(at, 2) << "behind the running request and at most one request of the other customer";
}

TEST_F(agent_with_fresh_engine, cold_engine_resets_the_limit_to_its_start_value) {
    agent.reset();
    settings.ramp_start = 2;
    settings.ramp_step_every = 1ms;
    start_agent();
    load("m1", 60);
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(run(chat("r" + std::to_string(i), "a", 1)).finished.has_value());
    steward->await_report([](const auto& seen) { return seen.load.limit >= 6; });
    add_fault(engine->address(), {{"kind", "cold"}, {"delay_ms", 60'000}});
    EXPECT_EQ(steward->await_report([](const auto& seen) { return seen.load.limit < 6; }).load.limit, 2);
}

TEST_F(agent_with_fresh_engine, data_centre_taken_out_accepts_no_work_until_it_is_back_in) {
    const auto data_centre = [](core::config::data_centre_state at) {
        return core::config::encode(core::config::data_centre{"cerro", "montevideo", at});
    };
    config_feed config_source;
    settings.stewards = {config_source.address()};
    agent.reset();
    start_agent();
    load("m1", 60);
    config_source.await_subscription();
    config_source.send(1, "data-centre/cerro", data_centre(core::config::data_centre_state::out));
    steward->await_report([](const auto& seen) { return seen.config_revision == 1; });
    const auto refused = run(chat("r1", "a"));
    ASSERT_TRUE(refused.refused.has_value());
    EXPECT_EQ(refused.refused->reason, wire::refusal::data_centre_out);
    EXPECT_EQ(refused.refused->ran, wire::run_state::not_run);
    EXPECT_EQ(load("m2", 10, 2).reason, wire::refusal::data_centre_out);
    config_source.send(2, "data-centre/cerro", data_centre(core::config::data_centre_state::in));
    steward->await_report([](const auto& seen) { return seen.config_revision == 2; });
    EXPECT_TRUE(run(chat("r2", "a")).finished.has_value());
}
