// Customers' fleet-wide rates: in any window, all routers together spend at most rate x window + burst.
#include "limits_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::tests;

namespace {

constexpr double rounding = 1e-6;
const time_point start = time_point{} + 100s;
constexpr duration lapse_wait = limits::grant_term + limits::lapse_margin;

limits::bucket ready_bucket(double rate, double burst) {
    limits::bucket out{start - std::chrono::hours(1), 1, {rate, burst, 1}};
    out.draw(start, 0, {});
    return out;
}

/// Schedules of random words, longer than RapidCheck's default so that leases expire within them.
rc::Gen<std::vector<std::uint32_t>> schedules() {
    const auto words = rc::gen::inRange<std::uint32_t>(0, 1U << 31U);
    return rc::gen::resize(100, rc::gen::mapcat(rc::gen::inRange(50, 500), [words](int count) {
                               return rc::gen::container<std::vector<std::uint32_t>>(count, words);
                           }));
}

} // namespace

RC_GTEST_PROP(limits_property, no_window_exceeds_rate_and_burst_under_any_failure, ()) {
    const double rate = *rc::gen::resize(100, rc::gen::inRange(2, 30)); // far below the demand
    const double burst = *rc::gen::resize(100, rc::gen::inRange(20, 200));
    limits_world world{rate, burst};
    for (const std::uint32_t word : *schedules())
        world.step(word);
    const auto spent = world.spent();
    RC_TAG(spent.size() > 50 ? "over 50 spendings" : spent.size() > 10 ? "over 10" : "fewer");
    RC_ASSERT(worst_excess(spent, rate, burst) <= rounding);
}

RC_GTEST_PROP(limits_property, tokens_and_outstanding_never_exceed_the_burst, ()) {
    limits::bucket bucket = ready_bucket(50, 100);
    time_point now = start;
    std::vector<limits::settlement> known;
    double burst = 100;
    for (const auto word : *schedules()) {
        now += std::chrono::milliseconds(static_cast<int>(word % 900) - 200); // backward steps included
        if (word % 11 == 0) {
            burst = word % 150;
            bucket.change_limits(now, {50, burst, 1});
        }
        const auto before = bucket.outstanding(now);
        std::vector<limits::settlement> told;
        if (!known.empty())
            told.push_back(known[word % known.size()]);
        const auto got = bucket.draw(now, word / 900 % 130, told);
        RC_ASSERT(got.tokens <= static_cast<std::int64_t>(word / 900 % 130));
        if (got.tokens > 0)
            known.push_back({got.grant, word % (got.tokens + 1), word / 7 % (2 * got.tokens)});
        const auto all = bucket.tokens(now) + static_cast<double>(bucket.outstanding(now));
        RC_ASSERT(all <= std::max(burst, static_cast<double>(before)) + rounding);
    }
}

TEST(limits_bucket, new_holder_grants_nothing_until_old_grants_have_lapsed) {
    limits::bucket bucket{start, 2, {100, 100, 1}};
    EXPECT_EQ(bucket.draw(start + lapse_wait, 10, {}).tokens, 0);
    EXPECT_EQ(bucket.draw(start + lapse_wait + 500ms, 1000, {}).tokens, 50);
}

TEST(limits_bucket, handover_transfers_tokens_once) {
    limits::bucket old = ready_bucket(10, 100);
    EXPECT_EQ(old.draw(start, 30, {}).tokens, 30);
    const auto balance = old.hand_over(start);
    EXPECT_EQ(balance.outstanding, 30);
    EXPECT_EQ(old.draw(start, 10, {}).tokens, 0);
    limits::bucket next{start, 2, {10, 100, 1}};
    EXPECT_FALSE(next.adopt(start, balance, 2));
    EXPECT_TRUE(next.adopt(start, balance, 1));
    EXPECT_FALSE(next.adopt(start, balance, 1));
    EXPECT_EQ(next.draw(start, 1000, {}).tokens, 70);
    EXPECT_EQ(next.draw(start + 1s, 1000, {}).tokens, 0); // the predecessor's 30 are still outstanding
    EXPECT_EQ(old.draw(start + 1s, 10, {}).tokens, 0);
}

TEST(limits_bucket, repeated_unknown_and_late_settlements_add_no_tokens) {
    limits::bucket bucket = ready_bucket(1, 100);
    const auto got = bucket.draw(start, 100, {});
    ASSERT_EQ(got.tokens, 100);
    const std::vector<limits::settlement> half{
        {got.grant, 50, 50}, {got.grant, 50, 50}, {got.grant + 1, 0, 90}};
    bucket.draw(start, 0, half);
    bucket.draw(start, 0, half);
    EXPECT_EQ(bucket.tokens(start), 50);
    const auto later = bucket.draw(start, 20, {});
    const std::vector<limits::settlement> late{{later.grant, 0, 20}};
    bucket.draw(start + lapse_wait, 0, late);
    EXPECT_NEAR(bucket.tokens(start + lapse_wait), 32.25, rounding);
}

TEST(limits_bucket, unused_part_is_corrected_up_to_the_headroom_since_it_was_spent) {
    limits::bucket bucket = ready_bucket(10, 100);
    const auto got = bucket.draw(start, 100, {});
    const std::vector<limits::settlement> spent{{got.grant, 100, 0, 0}};
    bucket.draw(start, 0, spent);
    EXPECT_EQ(bucket.draw(start + 8s, 80, {}).tokens, 80);
    const std::vector<limits::settlement> unused{{got.grant, 100, 0, 90}, {got.grant, 100, 0, 90}};
    bucket.draw(start + 8s, 0, unused);
    EXPECT_EQ(bucket.tokens(start + 8s), 20); // 80 of the 90 accrued meanwhile: headroom for only 20
}

TEST(limits_bucket, correction_adds_nothing_once_the_bucket_was_full_again) {
    limits::bucket bucket = ready_bucket(10, 100);
    const auto first = bucket.draw(start, 100, {});
    const std::vector<limits::settlement> spent{{first.grant, 100, 0, 0}};
    bucket.draw(start, 0, spent);
    const auto second = bucket.draw(start + 10s, 100, {}); // the bucket was full again
    ASSERT_EQ(second.tokens, 100);
    const std::vector<limits::settlement> unused{{second.grant, 100, 0, 0}, {first.grant, 100, 0, 90}};
    bucket.draw(start + 10s, 0, unused);
    EXPECT_EQ(bucket.tokens(start + 10s), 0);
}

TEST(limits_bucket, repeated_correction_counts_once) {
    limits::bucket bucket = ready_bucket(10, 100);
    const auto got = bucket.draw(start, 100, {});
    const std::vector<limits::settlement> unused{{got.grant, 100, 0, 30}, {got.grant, 100, 0, 30}};
    bucket.draw(start, 0, unused);
    EXPECT_EQ(bucket.tokens(start), 30);
}

TEST(limits_bucket, lower_burst_takes_effect_at_once) {
    limits::bucket bucket = ready_bucket(10, 100);
    bucket.change_limits(start, {10, 20, 1});
    EXPECT_EQ(bucket.draw(start, 100, {}).tokens, 20);
}

TEST(limits_bucket, reports_when_the_requested_amount_will_be_available) {
    limits::bucket bucket = ready_bucket(10, 100);
    const auto all = bucket.draw(start, 100, {});
    const auto unsettled = bucket.draw(start, 30, {});
    EXPECT_EQ(unsettled.tokens, 0);
    EXPECT_EQ(unsettled.retry_after, lapse_wait + 3s); // nothing accrues while the whole burst is outstanding
    const std::vector<limits::settlement> spent{{all.grant, 100, 0, 0}};
    const auto settled = bucket.draw(start, 30, spent);
    EXPECT_EQ(settled.retry_after, 3s);
    EXPECT_EQ(bucket.draw(start + 3s, 30, {}).tokens, 30);
}

TEST(limits_shares, never_sum_to_more_than_one) {
    const limits::shares first;
    const auto second = first.after({"a", "vm-a", 1, 1, 0}, false);
    const auto third = second.after({"b", "vm-b", 1, 2, 0}, false);
    EXPECT_EQ(first.share(false), 0.5); // lease expired: half of its share
    EXPECT_EQ(second.share(true), 0.5);
    EXPECT_EQ(third.share(true), 0.25);
    EXPECT_EQ(third.predecessors().at(1).share, 0.25);
    auto read = limits::shares::decode(third.encode());
    ASSERT_TRUE(read.has_value());
    read->confirm_stopped("a", 1, start);
    EXPECT_FALSE(read->without_lapsed(start + 2s).has_value());
    EXPECT_EQ(read->without_lapsed(start + lapse_wait)->share(true), 0.75);
    EXPECT_FALSE(limits::shares::decode(nlohmann::json::parse(R"([{"holder":1}])")).has_value());
}

TEST(grant_cache, spends_drawn_tokens_and_returns_the_rest_before_the_grant_expires) {
    limits::bucket holder = ready_bucket(100, 100);
    limits::grant_cache cache;
    EXPECT_EQ(cache.reserve(start, 40).outcome, limits::reserve_outcome::wait);
    auto order = cache.next_draw(start);
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->requested, 40);
    EXPECT_FALSE(cache.next_draw(start).has_value()); // one in flight
    cache.draw_answered(start, order->id, holder.draw(start, order->requested, order->settled));
    const auto mine = cache.reserve(start, 40);
    ASSERT_EQ(mine.outcome, limits::reserve_outcome::served);
    cache.settle(start + 100ms, mine.reservation, 10);
    EXPECT_EQ(cache.available(start + 100ms), 30);
    order = cache.next_draw(start + 1600ms); // the grant expires soon and there is no demand
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->settled.at(0).spent, 10);
    EXPECT_EQ(order->settled.at(0).returned, 30);
    EXPECT_EQ(cache.available(start + 1600ms), 0);
}

TEST(grant_cache, refuses_with_a_retry_delay_if_the_holder_has_too_few_tokens) {
    limits::bucket holder = ready_bucket(10, 20);
    limits::grant_cache cache;
    EXPECT_EQ(cache.reserve(start, 30).outcome, limits::reserve_outcome::wait);
    const auto order = cache.next_draw(start);
    cache.draw_answered(start, order->id, holder.draw(start, order->requested, order->settled));
    const auto refused = cache.reserve(start, 30);
    EXPECT_EQ(refused.outcome, limits::reserve_outcome::refused);
    EXPECT_GT(refused.retry_after, 0s);
    EXPECT_EQ(cache.reserve(start, 20).outcome, limits::reserve_outcome::served); // granted tokens are usable
}

TEST(grant_cache, late_answer_is_not_spent) {
    limits::bucket holder = ready_bucket(10, 20);
    limits::grant_cache cache;
    cache.reserve(start, 10);
    const auto order = cache.next_draw(start);
    const auto got = holder.draw(start + 1s, order->requested, order->settled);
    cache.draw_answered(start + 2s, order->id, got);
    EXPECT_EQ(cache.available(start + 2s), 0);
}
