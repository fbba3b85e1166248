// Contract test of the agent without faults: load, run and unload of a model.
#include "contract/agent_fixture.hpp"

using namespace agent_testing;

TEST_F(agent_with_engine, loads_runs_and_unloads) {
    const auto loaded = load("m1", 60);
    EXPECT_EQ(loaded.reason, wire::refusal::none);
    EXPECT_EQ(loaded.state, "loaded");
    EXPECT_EQ(loaded.free_bytes, 40);
    const auto answer = run(chat("r1", "one two three", 4));
    ASSERT_TRUE(answer.finished.has_value());
    EXPECT_EQ(answer.finished->status, 200);
    EXPECT_EQ(answer.finished->used_tokens, 4);
    EXPECT_EQ(text_of(answer.body), "one two three one ");
    EXPECT_EQ(unload("m1", 2).state, "absent");
    const auto refused = run(chat("r2", "late"));
    ASSERT_TRUE(refused.refused.has_value());
    EXPECT_EQ(refused.refused->reason, wire::refusal::model_not_loaded);
    EXPECT_EQ(refused.refused->ran, wire::run_state::not_run);
}
