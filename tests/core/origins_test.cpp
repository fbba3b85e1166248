// Where callers' streams began: what is known, told and forgotten, and the choice of a target for the rest.
#include "core/dispatch/request_target_choice.hpp"
#include "core/streams/origins.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using streams::origin_source;
using streams::origins;

namespace {

constexpr time_point now{1'000s};

} // namespace

TEST(origins, the_first_version_that_is_known_of_a_stream_holds) {
    origins known;
    EXPECT_FALSE(known.version_of(1));
    known.note(1, "v1", origin_source::own, now);
    known.note(1, "v2", origin_source::peer, now + 1s);
    EXPECT_EQ(known.version_of(1), "v1");
}

TEST(origins, are_forgotten_after_longer_than_callers_wait) {
    origins known;
    known.note(1, "v1", origin_source::own, now);
    known.note(2, "v1", origin_source::peer, now + 50s);
    known.expire(now + 61s);
    EXPECT_FALSE(known.version_of(1));
    EXPECT_EQ(known.version_of(2), "v1");
}

TEST(origins, peers_are_told_of_own_streams_that_began_lately) {
    origins known;
    known.note(1, "v1", origin_source::own, now);
    known.note(2, "v1", origin_source::own, now + 2s);
    known.note(3, "v2", origin_source::own, now + 2s);
    known.note(4, "v2", origin_source::peer, now + 2s);
    EXPECT_EQ(known.own_since(now + 1s, 10), (streams::attempts_by_version{{"v1", {2}}, {"v2", {3}}}));
    EXPECT_EQ(known.own_since(now, 1), (streams::attempts_by_version{{"v2", {3}}})) << "the newest ones";
    EXPECT_EQ(known.all(10), (streams::attempts_by_version{{"v1", {2, 1}}, {"v2", {4, 3}}}));
}

TEST(origins, memory_is_bounded) {
    origins known;
    for (std::uint64_t attempt = 0; attempt < streams::max_origins + 10; ++attempt)
        known.note(attempt, "v1", origin_source::peer, now);
    EXPECT_FALSE(known.version_of(9));
    EXPECT_TRUE(known.version_of(10));
}

TEST(origins, a_version_counts_for_a_while_after_its_last_target_has_left) {
    origins known;
    known.note_target("s", "v1", now);
    known.note_target("s", "v2", now + 50s);
    known.note_target("other", "v3", now + 50s);
    EXPECT_EQ(known.versions_of("s", now + 55s), (std::set<std::string>{"v1", "v2"}));
    EXPECT_EQ(known.versions_of("s", now + 61s), (std::set<std::string>{"v2"}));
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
    const std::string begun_at = "v2";
    dispatch::target_criteria criteria;
    criteria.software_version = &begun_at;
    EXPECT_EQ(dispatch::choose(candidates, criteria, now).chosen, &candidates[1]);
    new_version.said_leaving_at = now;
    const auto none = dispatch::choose(candidates, criteria, now);
    EXPECT_EQ(none.chosen, nullptr);
    EXPECT_EQ(none.why, dispatch::obstacle::no_target);
}
