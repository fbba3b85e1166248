// What one target holds as the giver of its orders believes, and how fast the weight store is: through lost
// answers, old reports, and loads that take longer than foretold.
#include "core/load_planning/store_load_limit.hpp"
#include "core/load_planning/target_ledger.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using load_planning::target_ledger;

namespace {

constexpr time_point start{100s};

} // namespace

TEST(ledger, an_order_without_an_answer_blocks_until_a_fresh_report) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    ASSERT_TRUE(one.takes_orders(start));
    one.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.note_answer(1, target_ledger::answer::unknown, start + 1s);
    EXPECT_FALSE(one.takes_orders(start + 2s));
    EXPECT_TRUE(one.store_load_under_way(start + 2s)); // counted as begun
    one.describe(1, 4, {}, start + 1'100ms);           // may be older than the lost answer
    EXPECT_FALSE(one.takes_orders(start + 2s));
    one.describe(1, 4, {}, start + 1s + load_planning::report_delay);
    EXPECT_TRUE(one.takes_orders(start + 3s));
}

TEST(ledger, a_loading_model_takes_its_room_but_serves_nobody_yet) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    one.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.note_answer(1, target_ledger::answer::accepted, start);
    EXPECT_TRUE(one.models().contains("m0"));
    EXPECT_TRUE(one.loading(start + 5s).contains("m0"));
    EXPECT_FALSE(one.takes_orders(start + 5s));
    one.describe(1, 5, {}, start + 1s); // a report during the load lists it nowhere
    EXPECT_TRUE(one.models().contains("m0"));
    EXPECT_TRUE(one.loading(start + 6s).empty());
    EXPECT_TRUE(one.needs_report(start + 6s)); // the weight store may be slower than foretold
    EXPECT_TRUE(one.store_load_under_way(start + 6s));
    one.confirm({{"m0", {}}}, start + 6s);
    EXPECT_FALSE(one.needs_report(start + 6s));
    EXPECT_FALSE(one.store_load_under_way(start + 6s));
}

TEST(ledger, another_start_holds_nothing) {
    target_ledger one;
    one.describe(1, 4, {{"m0", {}}}, start);
    one.describe(2, 0, {}, start + 1s);
    EXPECT_TRUE(one.models().empty());
    EXPECT_EQ(one.sequence(), 0);
}

TEST(ledger, an_answer_to_an_order_of_before_settles_no_newer_one) {
    target_ledger one;
    one.describe(1, 4, {{"m0", {"a1", "a2"}}}, start);
    one.note_sent(7, {"t1", false, {"m0", "a1"}, false, ""}, 25ms,
                  start); // order 6 was sent by a former ledger
    one.note_answer(6, target_ledger::answer::accepted, start + 100ms);
    EXPECT_FALSE(one.takes_orders(start + 100ms));
    EXPECT_EQ(one.sequence(), 4);
    EXPECT_TRUE(one.models().at("m0").contains("a1"));
    one.note_answer(7, target_ledger::answer::rejected, start + 200ms);
    EXPECT_TRUE(one.needs_report(start + 200ms));
}

// On Cámara's quiet day half of all loads met the unload before them and then waited a second for a report.
TEST(ledger, a_target_still_at_its_unload_is_asked_again_soon) {
    target_ledger one;
    one.describe(1, 4, {{"m0", {}}}, start);
    one.note_sent(1, {"t1", false, {"m0", ""}, false, ""}, 25ms, start);
    one.note_answer(1, target_ledger::answer::accepted, start);
    one.note_sent(2, {"t1", true, {"m1", ""}, false, ""}, 800ms, start);
    one.note_answer(2, target_ledger::answer::rejected, start + 10ms);
    EXPECT_FALSE(one.takes_orders(start + 10ms));
    EXPECT_TRUE(one.takes_orders(start + 10ms + load_planning::busy_pause));
    one.note_sent(3, {"t1", true, {"m1", ""}, false, ""}, 800ms, start + 700ms);
    one.note_answer(3, target_ledger::answer::rejected, start + 700ms);
    EXPECT_TRUE(one.needs_report(start + 700ms)); // too long for an unload: the number may differ
}

TEST(ledger, a_long_load_that_takes_longer_than_foretold_is_not_ready) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    one.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.note_answer(1, target_ledger::answer::accepted, start);
    one.note_busy({}, start + 5'900ms, start + 6'900ms); // may be older than the foretold end
    EXPECT_TRUE(one.loading(start + 7s).empty());
    one.note_busy({}, start + 6'100ms, start + 7s);
    EXPECT_TRUE(one.loading(start + 7s).contains("m0"));
    EXPECT_TRUE(one.store_load_under_way(start + 7s));
    EXPECT_TRUE(one.needs_report(start + 7s));
    EXPECT_FALSE(one.takes_orders(start + 7s));
    const auto over = one.confirm({{"m0", {}}}, start + 7'300ms);
    ASSERT_EQ(over.size(), 1U);
    EXPECT_EQ(over.front().expected_time, 6'000ms);
    EXPECT_EQ(over.front().taken, 7'300ms);
    EXPECT_TRUE(one.loading(start + 7'300ms).empty()) << "a report lists it";
}

TEST(store_pace_of, a_weight_store_that_is_slower_beside_others_gets_fewer_loads) {
    load_planning::store_load_limit pace;
    EXPECT_EQ(pace.limit(4), 4);
    for (int load = 0; load < 4; ++load) // all four began together and tell the same
        pace.note_finished(7'800ms, 15'900ms, 4, start + 1ms * load);
    EXPECT_EQ(pace.limit(4), 2);
    pace.note_finished(7'800ms, 8'300ms, 4, start + 9s);
    EXPECT_EQ(pace.limit(4), 2) << "not tried again at once";
}

TEST(store_pace_of, a_store_at_full_speed_keeps_its_limit_and_one_that_recovers_gets_more) {
    load_planning::store_load_limit pace;
    pace.note_finished(6'000ms, 6'900ms, 4, start);
    EXPECT_EQ(pace.limit(4), 4) << "a report shows the end late";
    pace.note_finished(6'000ms, 24s, 4, start + 30s);
    EXPECT_EQ(pace.limit(4), 1);
    for (auto at = 36s; at < 200s; at += 6s)
        pace.note_finished(6'000ms, 6'300ms, 4, start + at);
    EXPECT_EQ(pace.limit(4), 4);
    EXPECT_EQ(pace.limit(2), 2) << "never beyond the setting";
}

TEST(ledger, a_long_load_that_no_report_lists_has_failed) {
    target_ledger one;
    one.describe(1, 4, {}, start);
    one.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    one.note_answer(1, target_ledger::answer::accepted, start);
    one.describe(1, 5, {}, start + 7s);
    EXPECT_TRUE(one.models().contains("m0"));
    one.describe(1, 5, {}, start + 6s + load_planning::long_load);
    EXPECT_FALSE(one.models().contains("m0"));
    EXPECT_TRUE(one.takes_orders(start + 9s));
}
