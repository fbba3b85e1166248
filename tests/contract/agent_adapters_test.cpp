// Contract tests of adapters: loaded on demand, counted in the model ledger, evicted by least recent use.
#include "contract/agent_fixture.hpp"

using namespace agent_testing;

namespace {

class agent_with_adapters : public agent_with_engine {
protected:
    void SetUp() override {
        settings.stewards = {config_source.address()};
        standins::engine::engine_options options;
        options.token_time = 20ms;
        begin(options);
        config_source.await_subscription();
        core::config::model model{"m1", "seam-assistant", "1", 60, 1, 0ms, {}};
        for (const char* name : {"a1", "a2", "a3"})
            model.adapters.push_back({name, 20});
        config_source.send(1, "model/seam-assistant/m1", core::config::encode(model));
        steward->await_report([](const auto& seen) { return seen.config_revision == 1; });
        ASSERT_EQ(load("m1", 60).state, "loaded");
    }
    static wire::run_request with_adapter(const std::string& id, const std::string& adapter, int tokens = 2) {
        auto out = chat(id, "a", tokens);
        out.adapter = adapter;
        return out;
    }
    void expect_adapters(const std::set<std::string>& expected) {
        steward->await_report([&](const auto& seen) {
            return !seen.models.empty() && std::set<std::string>(seen.models[0].adapters.begin(),
                                                                 seen.models[0].adapters.end()) == expected;
        });
    }
    config_feed config_source;
};

} // namespace

TEST_F(agent_with_adapters, load_on_demand_and_evict_the_least_recently_used) {
    EXPECT_TRUE(run(with_adapter("r1", "a1")).finished.has_value());
    EXPECT_TRUE(run(with_adapter("r2", "a2")).finished.has_value());
    EXPECT_TRUE(run(with_adapter("r3", "a1")).finished.has_value());
    expect_adapters({"a1", "a2"});
    EXPECT_TRUE(run(with_adapter("r4", "a3")).finished.has_value());
    expect_adapters({"a1", "a3"});
    const json seen = audit(engine->address());
    EXPECT_EQ(seen["overcommit_attempts"], 0);
    EXPECT_EQ(seen["max_used_bytes"], 100);
}

TEST_F(agent_with_adapters, adapter_in_use_is_not_evicted) {
    for (const char* adapter : {"a1", "a2"}) {
        router->send(kind::run_request, 1, with_adapter(adapter, adapter, 50));
        router->expect<wire::run_chunk>(kind::run_chunk);
    }
    peer second_router{agent->port(), "router"};
    second_router.send(kind::run_request, 1, with_adapter("r3", "a3"));
    const auto answer = collect(second_router, "r3");
    ASSERT_TRUE(answer.refused.has_value());
    EXPECT_EQ(answer.refused->reason, wire::refusal::no_memory);
    EXPECT_EQ(answer.refused->ran, wire::run_state::not_run);
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(router->expect<wire::run_finished>(kind::run_finished).status, 200);
}

TEST_F(agent_with_adapters, requests_for_the_same_adapter_share_one_load) {
    for (int i = 0; i < 5; ++i)
        router->send(kind::run_request, i, with_adapter("r" + std::to_string(i), "a1"));
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(router->expect<wire::run_finished>(kind::run_finished).status, 200);
    EXPECT_EQ(audit(engine->address())["used_bytes"], 80);
}
