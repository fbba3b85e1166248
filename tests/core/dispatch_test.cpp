// Choice of a target: what stands in the way, load, failures, sessions; and the bound on repeats.
#include "core/dispatch/request_target_choice.hpp"
#include "core/retries/window_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using dispatch::candidate;

namespace {

constexpr time_point now{100s};

struct world {
    fleet::target& add(const std::string& id, int load = 0) {
        targets.push_back(std::make_unique<fleet::target>());
        fleet::target& one = *targets.back();
        one.entry.id = id;
        one.entry.data_centre = "a";
        candidate seen;
        seen.target = &one;
        seen.load = load;
        seen.limit = 10;
        candidates.push_back(seen);
        return one;
    }
    [[nodiscard]] std::string chosen(const dispatch::target_criteria& what) const {
        const auto out = dispatch::choose(candidates, what, now);
        return out.chosen == nullptr ? dispatch::name_of(out.why) : out.chosen->target->entry.id;
    }
    std::vector<std::unique_ptr<fleet::target>> targets;
    std::vector<candidate> candidates;
};

dispatch::target_criteria model(const std::string& text) {
    dispatch::target_criteria out;
    out.model = fleet::parse_model_wish(text);
    return out;
}

} // namespace

// On Cámara's scale-1 a tenth of the streams paused for longer than 300 ms while others' prompts were read.
TEST(request_target_choice, a_target_gets_no_more_prompts_than_it_reads_between_two_events) {
    world one;
    one.add("t1").entry.models["m"];
    one.candidates[0].unread_limit = 2'000;
    auto wish = model("m");
    wish.prompt_tokens = 5'000;
    EXPECT_EQ(one.chosen(wish), "t1") << "one is always taken, however long";
    one.candidates[0].unread_tokens = 1'500;
    EXPECT_EQ(one.chosen(wish), "reading");
    wish.prompt_tokens = 500;
    EXPECT_EQ(one.chosen(wish), "t1");
    one.add("t2").entry.models["m"];
    EXPECT_EQ(one.chosen(wish), "t2") << "of two alike, the one that reads less";
    one.candidates.pop_back();
    one.candidates[0].unread_limit = 0;
    wish.prompt_tokens = 5'000;
    EXPECT_EQ(one.chosen(wish), "t1") << "no limit";
}

TEST(request_target_choice, the_mildest_obstacle_is_named) {
    world one;
    EXPECT_EQ(one.chosen({}), "no_target");
    fleet::target& first = one.add("t1");
    EXPECT_EQ(one.chosen(model("m")), "no_model");
    first.coming["m"] = now;
    EXPECT_EQ(one.chosen(model("m")), "loading");
    first.entry.models["m"];
    EXPECT_EQ(one.chosen(model("m/a1")), "no_adapter");
    EXPECT_EQ(one.chosen(model("m")), "t1");
    one.candidates[0].cold_allowance = false;
    EXPECT_EQ(one.chosen(model("m")), "cold");
    one.candidates[0].cold_allowance = true;
    one.candidates[0].load = 10;
    EXPECT_EQ(one.chosen(model("m")), "full");
    one.candidates[0].reachable = false;
    EXPECT_EQ(one.chosen(model("m")), "unreachable");
}

TEST(request_target_choice, leaving_tried_barred_and_taken_out_targets_get_nothing) {
    world one;
    fleet::target& first = one.add("t1");
    const std::set<std::string> t1{"t1"};
    const std::set<std::string> none{"t2"};
    const std::set<std::string> a{"a"};
    EXPECT_EQ(one.chosen({{}, 0, &t1, nullptr, nullptr}), "no_target");
    EXPECT_EQ(one.chosen({{}, 0, nullptr, &a, nullptr}), "no_target");
    EXPECT_EQ(one.chosen({{}, 0, nullptr, nullptr, &none}), "no_target");
    EXPECT_EQ(one.chosen({{}, 0, nullptr, nullptr, &t1}), "t1");
    first.gone_at = now;
    EXPECT_EQ(one.chosen({}), "no_target");
    first.gone_at.reset();
    first.told_leaving = true;
    EXPECT_EQ(one.chosen({}), "no_target");
}

TEST(request_target_choice, the_least_full_target_is_taken_and_one_that_fails_is_avoided) {
    world one;
    one.add("busy", 8);
    one.add("free", 2);
    EXPECT_EQ(one.chosen({}), "free");
    one.candidates[1].failure_rate = 0.4; // its health check is good, its answers are not
    EXPECT_EQ(one.chosen({}), "busy");
}

TEST(request_target_choice, a_session_keeps_its_target_unless_that_is_much_fuller) {
    world one;
    one.add("t1");
    one.add("t2");
    one.add("t3");
    dispatch::target_criteria what;
    what.session = 42;
    const std::string own = one.chosen(what);
    EXPECT_EQ(one.chosen(what), own);
    for (candidate& seen : one.candidates)
        if (seen.target->entry.id == own)
            seen.load = 9;
    EXPECT_NE(one.chosen(what), own);
}

RC_GTEST_PROP(window_budget, no_window_holds_more_repeats_than_its_bound,
              (const std::vector<std::uint8_t>& steps)) {
    const retries::window_limits limits{0.2, 5, 10'000ms};
    retries::window_budget budget{limits};
    std::vector<time_point> firsts;
    std::vector<time_point> repeats;
    time_point at = now;
    for (const std::uint8_t step : steps) {
        at += std::chrono::milliseconds{step * 10};
        if (step % 3 == 0) {
            budget.count_first(at);
            firsts.push_back(at);
        }
        if (budget.take(at))
            repeats.push_back(at);
        const auto recent = [&](const std::vector<time_point>& all) {
            return std::count_if(all.begin(), all.end(),
                                 [&](time_point one) { return one > at - limits.window; });
        };
        RC_ASSERT(static_cast<double>(recent(repeats)) <=
                  limits.slack + limits.ratio * static_cast<double>(firsts.size()));
    }
}
