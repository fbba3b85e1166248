// Choice of a request's target: obstacles, load, failures, sessions. Also the bound on retries in a window.
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

struct service_targets {
    fleet::target& add(const std::string& id, int load = 0) {
        targets.push_back(std::make_unique<fleet::target>());
        fleet::target& added = *targets.back();
        added.entry.id = id;
        added.entry.data_centre = "a";
        candidate seen;
        seen.target = &added;
        seen.load = load;
        seen.limit = 10;
        candidates.push_back(seen);
        return added;
    }
    [[nodiscard]] std::string chosen(const dispatch::target_criteria& criteria) const {
        const auto result = dispatch::choose(candidates, criteria, now);
        return result.chosen == nullptr ? dispatch::name_of(result.why) : result.chosen->target->entry.id;
    }
    std::vector<std::unique_ptr<fleet::target>> targets;
    std::vector<candidate> candidates;
};

dispatch::target_criteria model(const std::string& text) {
    dispatch::target_criteria out;
    out.model = fleet::parse_model_ref(text);
    return out;
}

} // namespace

// Without the limit, a tenth of the streams in Cámara's run scale-1 paused for longer than 300 ms while the
// target read other requests' prompts.
TEST(request_target_choice, unread_prompt_tokens_stay_within_the_limit_of_a_target) {
    service_targets service;
    service.add("t1").entry.models["m"];
    service.candidates[0].unread_limit = 2'000;
    auto criteria = model("m");
    criteria.prompt_tokens = 5'000;
    EXPECT_EQ(service.chosen(criteria), "t1") << "a target with nothing unread takes a prompt of any length";
    service.candidates[0].unread_tokens = 1'500;
    EXPECT_EQ(service.chosen(criteria), "reading");
    criteria.prompt_tokens = 500;
    EXPECT_EQ(service.chosen(criteria), "t1");
    service.add("t2").entry.models["m"];
    EXPECT_EQ(service.chosen(criteria), "t2") << "of two equal targets, the one with fewer unread tokens";
    service.candidates.pop_back();
    service.candidates[0].unread_limit = 0;
    criteria.prompt_tokens = 5'000;
    EXPECT_EQ(service.chosen(criteria), "t1") << "no limit";
}

TEST(request_target_choice, a_paused_target_gets_nothing_even_if_it_is_the_only_one) {
    service_targets service;
    service.add("t1").pause = fleet::target_pause{now - 1s, now + 3s};
    EXPECT_EQ(service.chosen({}), "paused");
    service.add("t2").pause = fleet::target_pause{now - 1s, now + 2s};
    const auto blocked = dispatch::choose(service.candidates, {}, now);
    ASSERT_NE(blocked.first_back, nullptr);
    EXPECT_EQ(blocked.first_back->target->entry.id, "t2");
    EXPECT_EQ(dispatch::choose(service.candidates, {}, now + 2s).chosen->target->entry.id, "t2");
    dispatch::target_criteria session;
    session.session = 7; // affinity does not override a pause either
    service.add("t3", 9);
    EXPECT_EQ(service.chosen(session), "t3");
}

TEST(request_target_choice, a_target_that_said_it_leaves_gets_nothing) {
    service_targets service;
    service.add("t1").said_leaving_at = now - 1s;
    EXPECT_EQ(service.chosen({}), "no_target");
    service.add("t2", 9);
    EXPECT_EQ(service.chosen({}), "t2");
}

TEST(request_target_choice, the_mildest_obstacle_is_named) {
    service_targets service;
    EXPECT_EQ(service.chosen({}), "no_target");
    fleet::target& first = service.add("t1");
    EXPECT_EQ(service.chosen(model("m")), "no_model");
    first.coming["m"] = now;
    EXPECT_EQ(service.chosen(model("m")), "loading");
    first.entry.models["m"];
    EXPECT_EQ(service.chosen(model("m/a1")), "no_adapter");
    EXPECT_EQ(service.chosen(model("m")), "t1");
    service.candidates[0].cold_allowance = false;
    EXPECT_EQ(service.chosen(model("m")), "cold");
    service.candidates[0].cold_allowance = true;
    service.candidates[0].load = 10;
    EXPECT_EQ(service.chosen(model("m")), "full");
    service.candidates[0].reachable = false;
    EXPECT_EQ(service.chosen(model("m")), "unreachable");
}

TEST(request_target_choice, leaving_tried_barred_and_excluded_targets_are_not_chosen) {
    service_targets service;
    fleet::target& first = service.add("t1");
    const std::set<std::string> t1{"t1"};
    const std::set<std::string> none{"t2"};
    const std::set<std::string> a{"a"};
    EXPECT_EQ(service.chosen({{}, 0, &t1, nullptr, nullptr}), "no_target");
    EXPECT_EQ(service.chosen({{}, 0, nullptr, &a, nullptr}), "no_target");
    EXPECT_EQ(service.chosen({{}, 0, nullptr, nullptr, &none}), "no_target");
    EXPECT_EQ(service.chosen({{}, 0, nullptr, nullptr, &t1}), "t1");
    first.gone_at = now;
    EXPECT_EQ(service.chosen({}), "no_target");
    first.gone_at.reset();
    first.departed = true;
    EXPECT_EQ(service.chosen({}), "no_target");
}

TEST(request_target_choice, the_least_full_target_is_chosen_and_a_failing_one_is_avoided) {
    service_targets service;
    service.add("busy", 8);
    service.add("free", 2);
    EXPECT_EQ(service.chosen({}), "free");
    service.candidates[1].failure_rate = 0.4; // its health check succeeds, its answers fail
    EXPECT_EQ(service.chosen({}), "busy");
}

TEST(request_target_choice, a_session_keeps_its_target_unless_it_is_much_fuller_than_the_best) {
    service_targets service;
    service.add("t1");
    service.add("t2");
    service.add("t3");
    dispatch::target_criteria criteria;
    criteria.session = 42;
    const std::string own = service.chosen(criteria);
    EXPECT_EQ(service.chosen(criteria), own);
    for (candidate& seen : service.candidates)
        if (seen.target->entry.id == own)
            seen.load = 9;
    EXPECT_NE(service.chosen(criteria), own);
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
