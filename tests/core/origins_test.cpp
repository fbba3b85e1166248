// Where callers' streams began: what is known, told and forgotten, and the choice of a target for the rest.
#include "core/dispatch/request_target_choice.hpp"
#include "core/streams/origins.hpp"
#include "core/streams/version_history.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using streams::origin_source;
using streams::origins;

namespace {

constexpr time_point now{1'000s};

fleet::serving_version version(const char* software, std::optional<std::int64_t> weights = {},
                               const char* adapter = "") {
    return {software, weights, adapter};
}

fleet::target target_of(const char* service, const fleet::serving_version& of) {
    fleet::target out;
    out.entry.service = service;
    out.entry.software_version = of.software;
    if (of.weights)
        out.entry.versions.weights["m"] = *of.weights;
    return out;
}

} // namespace

TEST(origins, the_first_version_that_is_known_of_a_stream_holds) {
    origins known;
    EXPECT_FALSE(known.version_of(1));
    known.note(1, version("v1"), origin_source::own, now);
    known.note(1, version("v2"), origin_source::peer, now + 1s);
    EXPECT_EQ(known.version_of(1), version("v1"));
}

TEST(origins, are_forgotten_after_longer_than_callers_wait) {
    origins known;
    known.note(1, version("v1"), origin_source::own, now);
    known.note(2, version("v1"), origin_source::peer, now + 50s);
    known.expire(now + 61s);
    EXPECT_FALSE(known.version_of(1));
    EXPECT_EQ(known.version_of(2), version("v1"));
}

TEST(origins, peers_are_told_of_own_streams_that_began_lately) {
    origins known;
    known.note(1, version("v1"), origin_source::own, now);
    known.note(2, version("v1"), origin_source::own, now + 2s);
    known.note(3, version("v2"), origin_source::own, now + 2s);
    known.note(4, version("v2"), origin_source::peer, now + 2s);
    EXPECT_EQ(known.own_since(now + 1s, 10),
              (streams::attempts_by_version{{version("v1"), {2}}, {version("v2"), {3}}}));
    EXPECT_EQ(known.own_since(now, 1), (streams::attempts_by_version{{version("v2"), {3}}}))
        << "the newest ones";
    EXPECT_EQ(known.all(10),
              (streams::attempts_by_version{{version("v1"), {2, 1}}, {version("v2"), {4, 3}}}));
}

TEST(origins, memory_is_bounded) {
    origins known;
    for (std::uint64_t attempt = 0; attempt < streams::max_origins + 10; ++attempt)
        known.note(attempt, version("v1"), origin_source::peer, now);
    EXPECT_FALSE(known.version_of(9));
    EXPECT_TRUE(known.version_of(10));
}

TEST(origins, weights_that_change_within_a_stream_replace_the_earlier_ones_and_are_told_again) {
    origins known;
    known.note(1, version("v1", 1, "7"), origin_source::own, now);
    known.note(1, version("v1", 2), origin_source::own, now + 30s);
    known.note(1, version("v1", 1), origin_source::peer, now + 31s);
    EXPECT_EQ(known.version_of(1), version("v1", 2, "7"));
    EXPECT_EQ(known.own_since(now + 29s, 10), (streams::attempts_by_version{{version("v1", 2, "7"), {1}}}));
    EXPECT_EQ(known.all(10), (streams::attempts_by_version{{version("v1", 2, "7"), {1}}}));
    known.expire(now + 61s);
    EXPECT_TRUE(known.version_of(1)) << "the retention counts from the change";
}

TEST(version_history, a_version_counts_for_a_while_after_its_last_target_has_left_or_changed) {
    streams::version_history history;
    history.update({{"a", target_of("s", version("v1", 1))},
                    {"b", target_of("s", version("v2"))},
                    {"c", target_of("other", version("v3"))}},
                   now);
    EXPECT_EQ(history.versions_of("s", {"m", ""}).software, (std::set<std::string>{"v1", "v2"}));
    history.update({{"a", target_of("s", version("v1", 2))}}, now + 100s);
    EXPECT_EQ(history.versions_of("s", {"m", ""}).weights, (std::set<std::int64_t>{1, 2}));
    history.update({{"a", target_of("s", version("v1", 2))}}, now + 159s);
    EXPECT_TRUE(history.versions_of("s", {"m", ""}).several());
    EXPECT_FALSE(history.versions_of("s", {"m", ""}).only());
    history.update({{"a", target_of("s", version("v1", 2))}}, now + 161s);
    EXPECT_EQ(history.versions_of("s", {"m", ""}).only(), version("v1", 2));
    EXPECT_FALSE(history.versions_of("none", {"m", ""}).several());
}

TEST(version_history, a_version_counts_for_a_while_however_often_targets_change_their_adapters) {
    constexpr int targets = 4'400;
    streams::version_history history;
    std::map<std::string, fleet::target> fleet;
    for (int number = 0; number < targets; ++number)
        fleet[std::to_string(number)] = target_of("s", version("v1", 1));
    history.update(fleet, now);
    for (int round = 1; round <= 6; ++round) {
        for (auto& [id, target] : fleet) {
            target.entry.software_version = "v2";
            target.entry.versions.adapters[{"m", "a" + std::to_string(round)}] = "1";
        }
        history.update(fleet, now + round * 5s);
    }
    EXPECT_EQ(history.versions_of("s", {"m", ""}).software, (std::set<std::string>{"v1", "v2"}));
}

TEST(version_history, is_complete_once_it_is_as_old_as_streams_may_be) {
    streams::version_history history;
    EXPECT_FALSE(history.is_complete(now)) << "nothing is read yet";
    history.begin(now);
    EXPECT_FALSE(history.is_complete(now + 59s));
    EXPECT_TRUE(history.is_complete(now + 60s));
    history.begin(now + 100s);
    EXPECT_FALSE(history.is_complete(now + 101s)) << "changes before may be unknown";
}

TEST(version_history, is_complete_at_once_if_what_was_stated_before_is_noted) {
    streams::version_history history;
    history.begin(now);
    history.note(target_of("s", version("v1", 1)).entry, now);
    EXPECT_FALSE(history.is_complete(now));
    history.mark_complete();
    EXPECT_TRUE(history.is_complete(now));
    history.update({{"a", target_of("s", version("v2", 1))}}, now);
    EXPECT_TRUE(history.versions_of("s", {"m", ""}).several());
    history.begin(now + 1s);
    EXPECT_FALSE(history.is_complete(now + 1s));
}

TEST(version_history, what_one_gateway_knows_counts_at_another_for_as_long) {
    streams::version_history running;
    running.update({{"a", target_of("s", version("v1", 1))}, {"b", target_of("s", version("v2", 2))}}, now);
    running.update({{"b", target_of("s", version("v2", 2))}}, now + 10s);
    streams::version_history started;
    started.update({{"b", target_of("s", version("v2", 2))}}, now + 20s);
    for (const auto& [service, versions] : running.all(now + 20s))
        started.merge(service, versions);
    EXPECT_EQ(started.versions_of("s", {"m", ""}).weights, (std::set<std::int64_t>{1, 2}));
    started.update({{"b", target_of("s", version("v2", 2))}}, now + 71s);
    EXPECT_EQ(started.versions_of("s", {"m", ""}).only(), version("v2", 2));
}

TEST(serving_version, a_stream_may_go_on_where_all_that_both_state_is_equal) {
    const auto begun = version("v1", 1, "7");
    EXPECT_TRUE(may_continue(begun, begun));
    EXPECT_TRUE(may_continue(begun, version("v1")));
    EXPECT_TRUE(may_continue(version("v1"), begun));
    EXPECT_FALSE(may_continue(begun, version("v2", 1, "7")));
    EXPECT_FALSE(may_continue(begun, version("v1", 2, "7")));
    EXPECT_FALSE(may_continue(begun, version("v1", 1, "8")));
}

TEST(request_target_choice, a_stream_of_earlier_weights_than_a_load_would_bring_waits_for_none) {
    fleet::target newer = target_of("s", version("v1", 2));
    newer.entry.id = "newer";
    newer.entry.models["m"];
    fleet::target without = target_of("s", version("v1"));
    without.entry.id = "without";
    std::vector<dispatch::candidate> candidates(2);
    candidates[0].target = &newer;
    candidates[1].target = &without;
    dispatch::target_criteria criteria;
    criteria.model = {"m", ""};
    const auto earlier = version("v1", 1);
    criteria.begun_at = &earlier;
    const auto none = dispatch::choose(candidates, criteria, now);
    EXPECT_EQ(none.chosen, nullptr);
    EXPECT_EQ(none.why, dispatch::obstacle::other_version);
    candidates[0].reachable = false;
    const auto latest = version("v1", 2);
    criteria.begun_at = &latest;
    EXPECT_EQ(dispatch::choose(candidates, criteria, now).why, dispatch::obstacle::no_model);
}

TEST(request_target_choice, a_stream_does_not_wait_for_a_load_at_a_target_of_other_software) {
    fleet::target other = target_of("s", version("v2"));
    std::vector<dispatch::candidate> candidates(1);
    candidates[0].target = &other;
    dispatch::target_criteria criteria;
    criteria.model = {"m", ""};
    const auto begun_at = version("v1", 1);
    criteria.begun_at = &begun_at;
    EXPECT_EQ(dispatch::choose(candidates, criteria, now).why, dispatch::obstacle::other_version);
}

TEST(request_target_choice, a_stream_that_goes_on_gets_no_target_of_another_software_version) {
    fleet::target old_version;
    fleet::target new_version;
    old_version.entry.id = "t1";
    old_version.entry.software_version = "v1";
    new_version.entry.id = "t2";
    new_version.entry.software_version = "v2";
    std::vector<dispatch::candidate> candidates(2);
    candidates[0].target = &old_version;
    candidates[1].target = &new_version;
    const auto begun_at = version("v2");
    dispatch::target_criteria criteria;
    criteria.begun_at = &begun_at;
    EXPECT_EQ(dispatch::choose(candidates, criteria, now).chosen, &candidates[1]);
    new_version.said_leaving_at = now;
    const auto none = dispatch::choose(candidates, criteria, now);
    EXPECT_EQ(none.chosen, nullptr);
    EXPECT_EQ(none.why, dispatch::obstacle::other_version);
}
