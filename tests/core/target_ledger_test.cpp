// Tests of the order giver's view of a target, with lost answers, outdated reports and loads that take longer
// than expected, and of the learned limit of parallel loads from the weight store.
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
    target_ledger ledger;
    ledger.describe(1, 4, {}, start);
    ASSERT_TRUE(ledger.takes_orders(start));
    ledger.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    ledger.note_answer(1, target_ledger::answer::unknown, start + 1s);
    EXPECT_FALSE(ledger.takes_orders(start + 2s));
    EXPECT_TRUE(ledger.store_load_under_way(start + 2s)); // counts as started
    ledger.describe(1, 4, {}, start + 1'100ms);           // may be older than the lost answer
    EXPECT_FALSE(ledger.takes_orders(start + 2s));
    ledger.describe(1, 4, {}, start + 1s + load_planning::report_delay);
    EXPECT_TRUE(ledger.takes_orders(start + 3s));
}

TEST(ledger, a_loading_model_takes_up_memory_but_is_not_ready) {
    target_ledger ledger;
    ledger.describe(1, 4, {}, start);
    ledger.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    ledger.note_answer(1, target_ledger::answer::accepted, start);
    EXPECT_TRUE(ledger.models().contains("m0"));
    EXPECT_TRUE(ledger.loading(start + 5s).contains("m0"));
    EXPECT_FALSE(ledger.takes_orders(start + 5s));
    ledger.describe(1, 5, {}, start + 1s); // a report made during the load doesn't list it
    EXPECT_TRUE(ledger.models().contains("m0"));
    EXPECT_TRUE(ledger.loading(start + 6s).empty());
    EXPECT_TRUE(ledger.needs_report(start + 6s)); // the weight store may be slower than expected
    EXPECT_TRUE(ledger.store_load_under_way(start + 6s));
    ledger.confirm({{"m0", {}}}, start + 6s);
    EXPECT_FALSE(ledger.needs_report(start + 6s));
    EXPECT_FALSE(ledger.store_load_under_way(start + 6s));
}

TEST(ledger, a_restarted_target_holds_nothing) {
    target_ledger ledger;
    ledger.describe(1, 4, {{"m0", {}}}, start);
    ledger.describe(2, 0, {}, start + 1s);
    EXPECT_TRUE(ledger.models().empty());
    EXPECT_EQ(ledger.sequence(), 0);
}

TEST(ledger, an_answer_to_an_earlier_order_does_not_settle_a_newer_one) {
    target_ledger ledger;
    ledger.describe(1, 4, {{"m0", {"a1", "a2"}}}, start);
    ledger.note_sent(7, {"t1", false, {"m0", "a1"}, false, ""}, 25ms,
                     start); // order 6 was sent before a reset of the ledger
    ledger.note_answer(6, target_ledger::answer::accepted, start + 100ms);
    EXPECT_FALSE(ledger.takes_orders(start + 100ms));
    EXPECT_EQ(ledger.sequence(), 4);
    EXPECT_TRUE(ledger.models().at("m0").contains("a1"));
    ledger.note_answer(7, target_ledger::answer::rejected, start + 200ms);
    EXPECT_TRUE(ledger.needs_report(start + 200ms));
}

// Guards against a load that is rejected because the unload before it is still running and then waits a
// second for a report; in Cámara's quiet day this hit half of all loads.
TEST(ledger, a_target_busy_with_an_unload_takes_orders_again_soon) {
    target_ledger ledger;
    ledger.describe(1, 4, {{"m0", {}}}, start);
    ledger.note_sent(1, {"t1", false, {"m0", ""}, false, ""}, 25ms, start);
    ledger.note_answer(1, target_ledger::answer::accepted, start);
    ledger.note_sent(2, {"t1", true, {"m1", ""}, false, ""}, 800ms, start);
    ledger.note_answer(2, target_ledger::answer::rejected, start + 10ms);
    EXPECT_FALSE(ledger.takes_orders(start + 10ms));
    EXPECT_TRUE(ledger.takes_orders(start + 10ms + load_planning::busy_pause));
    ledger.note_sent(3, {"t1", true, {"m1", ""}, false, ""}, 800ms, start + 700ms);
    ledger.note_answer(3, target_ledger::answer::rejected, start + 700ms);
    EXPECT_TRUE(ledger.needs_report(start + 700ms)); // too long for an unload: the sequence number may differ
}

TEST(ledger, a_long_load_that_takes_longer_than_expected_is_not_ready) {
    target_ledger ledger;
    ledger.describe(1, 4, {}, start);
    ledger.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    ledger.note_answer(1, target_ledger::answer::accepted, start);
    ledger.note_busy({}, start + 5'900ms, start + 6'900ms); // may be older than the expected end
    EXPECT_TRUE(ledger.loading(start + 7s).empty());
    ledger.note_busy({}, start + 6'100ms, start + 7s);
    EXPECT_TRUE(ledger.loading(start + 7s).contains("m0"));
    EXPECT_TRUE(ledger.store_load_under_way(start + 7s));
    EXPECT_TRUE(ledger.needs_report(start + 7s));
    EXPECT_FALSE(ledger.takes_orders(start + 7s));
    const auto over = ledger.confirm({{"m0", {}}}, start + 7'300ms);
    ASSERT_EQ(over.size(), 1U);
    EXPECT_EQ(over.front().expected_time, 6'000ms);
    EXPECT_EQ(over.front().taken, 7'300ms);
    EXPECT_TRUE(ledger.loading(start + 7'300ms).empty()) << "a report lists it";
}

TEST(store_load_limit, falls_when_parallel_loads_are_slower) {
    load_planning::store_load_limit pace;
    EXPECT_EQ(pace.limit(4), 4);
    for (int load = 0; load < 4; ++load) // all four ran in parallel and show the same slowdown
        pace.note_finished(7'800ms, 15'900ms, 4, start + 1ms * load);
    EXPECT_EQ(pace.limit(4), 2);
    pace.note_finished(7'800ms, 8'300ms, 4, start + 9s);
    EXPECT_EQ(pace.limit(4), 2) << "must not be raised again at once";
}

TEST(store_load_limit, stays_at_full_speed_and_rises_after_a_recovery) {
    load_planning::store_load_limit pace;
    pace.note_finished(6'000ms, 6'900ms, 4, start);
    EXPECT_EQ(pace.limit(4), 4) << "a report shows the end of a load late";
    pace.note_finished(6'000ms, 24s, 4, start + 30s);
    EXPECT_EQ(pace.limit(4), 1);
    for (auto elapsed = 36s; elapsed < 200s; elapsed += 6s)
        pace.note_finished(6'000ms, 6'300ms, 4, start + elapsed);
    EXPECT_EQ(pace.limit(4), 4);
    EXPECT_EQ(pace.limit(2), 2) << "must not exceed the setting";
}

TEST(ledger, a_long_load_that_no_report_lists_has_failed) {
    target_ledger ledger;
    ledger.describe(1, 4, {}, start);
    ledger.note_sent(1, {"t1", true, {"m0", ""}, true, ""}, 6'000ms, start);
    ledger.note_answer(1, target_ledger::answer::accepted, start);
    ledger.describe(1, 5, {}, start + 7s);
    EXPECT_TRUE(ledger.models().contains("m0"));
    ledger.describe(1, 5, {}, start + 6s + load_planning::long_load);
    EXPECT_FALSE(ledger.models().contains("m0"));
    EXPECT_TRUE(ledger.takes_orders(start + 9s));
}
