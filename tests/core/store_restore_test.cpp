// What a gateway keeps in force while a restored store is behind: the era, data centres taken out, and a
// start at that moment.
#include "core/fleet/centres_out.hpp"
#include "core/membership/catch_up.hpp"
#include "core/membership/store_eras.hpp"

#include <gtest/gtest.h>

#include <array>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::store_position;
using common::time_point;
using fleet::centres_out;
using membership::catch_up;
using membership::store_eras;

namespace {

constexpr time_point start{100s};
using names = std::set<std::string>;

} // namespace

TEST(store_position, is_ordered_by_era_first_and_has_a_text_form) {
    EXPECT_LT((store_position{1, 900}), (store_position{2, 3}));
    EXPECT_LT((store_position{2, 3}), (store_position{2, 4}));
    EXPECT_EQ(common::to_text({0, 17}), "17");
    EXPECT_EQ(common::parse_store_position("2.17"), (store_position{2, 17}));
    EXPECT_EQ(common::parse_store_position("17"), (store_position{0, 17}));
    for (const char* odd : {"", ".", "2.", ".3", "-1", "2.-3", "2.3.4", "x"})
        EXPECT_FALSE(common::parse_store_position(odd).has_value()) << odd;
}

TEST(store_eras, tells_a_restore_from_an_outdated_answer) {
    using verdict = store_eras::verdict;
    struct step {
        std::int64_t era;
        verdict expected;
    };
    store_eras eras;
    for (const step& each :
         std::array{step{3, verdict::first}, step{3, verdict::current}, step{4, verdict::risen},
                    step{3, verdict::outdated}, step{0, verdict::outdated}, step{4, verdict::current}})
        EXPECT_EQ(eras.observe(each.era), each.expected) << each.era;
    EXPECT_EQ(eras.newest(), 4);
}

TEST(store_eras, fencing_numbers_of_a_later_era_are_greater) {
    EXPECT_GT(membership::fencing_floor(2), membership::fencing_floor(1) + 1'000'000'000);
    EXPECT_LT(membership::fencing_floor(membership::max_store_era) + 1'000'000'000, std::int64_t{1} << 53);
}

TEST(centres_out, stay_out_in_a_restored_store_that_lacks_them_until_they_are_written_again) {
    centres_out centres;
    centres.apply_list({"a", "b"}, {1, 90}, start);
    EXPECT_FALSE(centres.apply_list({"b"}, {2, 40}, start + 1s));
    EXPECT_EQ(centres.out(), (names{"a", "b"}));
    centres.apply_changes({{"a", false}}, {2, 41}); // the operator writes it again
    EXPECT_TRUE(centres.held().empty());
    EXPECT_TRUE(centres.apply_changes({{"a", true}}, {2, 42})); // and brings it back
    EXPECT_EQ(centres.out(), (names{"b"}));
    EXPECT_FALSE(centres.hold("a", 10s, start + 2s)); // a peer that hasn't heard yet
}

TEST(centres_out, that_are_held_come_back_when_nobody_writes_them_again) {
    centres_out centres;
    centres.apply_list({"a"}, {1, 90}, start);
    centres.apply_list({}, {2, 40}, start);
    EXPECT_FALSE(centres.expire(start + centres_out::hold_limit - 1ms));
    EXPECT_TRUE(centres.expire(start + centres_out::hold_limit));
    EXPECT_TRUE(centres.out().empty());
    EXPECT_FALSE(centres.hold("a", 1s, start + centres_out::hold_limit)); // not again by a peer's message
}

TEST(centres_out, are_learned_from_a_peer_by_a_gateway_that_started_after_the_restore) {
    centres_out fresh;
    fresh.apply_list({}, {2, 41}, start);
    EXPECT_FALSE(fresh.merge_from_peer({"z"}, {1, 90}, start)); // of the old era
    EXPECT_TRUE(fresh.hold("a", 5s, start));
    EXPECT_TRUE(fresh.out().contains("a"));
    EXPECT_FALSE(fresh.hold("a", 5s, start + 4s)); // repetition does not prolong it
    EXPECT_TRUE(fresh.expire(start + 5s));
}

TEST(centres_out, that_are_missing_from_a_later_list_of_the_same_era_are_back) {
    centres_out centres;
    centres.apply_list({"a"}, {1, 90}, start);
    EXPECT_FALSE(centres.apply_list({}, {1, 80}, start)); // an older answer
    EXPECT_TRUE(centres.apply_list({}, {1, 95}, start));
    EXPECT_TRUE(centres.out().empty());
}

TEST(catch_up, waits_for_a_running_gateway_only_if_the_store_was_restored_since_one_started) {
    struct fault_case {
        const char* name;
        std::vector<std::int64_t> running_since;
        common::milliseconds wait;
    };
    for (const fault_case& each :
         {fault_case{"no other gateway", {}, 0ms}, fault_case{"all of this era", {2, 2}, 0ms},
          fault_case{"one of an earlier era", {2, 1}, catch_up::limit}}) {
        catch_up begun;
        begun.registrations_read(each.running_since, 2, start);
        EXPECT_EQ(begun.done(start), each.wait == 0ms) << each.name;
        EXPECT_TRUE(begun.done(start + each.wait)) << each.name;
    }
}

TEST(catch_up, ends_with_a_peers_message_or_soon_after_the_configuration) {
    catch_up begun;
    EXPECT_FALSE(begun.done(start + 1h));
    begun.configuration_read(start); // the registrations can't be read
    EXPECT_FALSE(begun.done(start + catch_up::limit - 1ms));
    EXPECT_TRUE(begun.done(start + catch_up::limit));
    catch_up informed;
    informed.informed_by_peer();
    EXPECT_TRUE(informed.done(start));
}
