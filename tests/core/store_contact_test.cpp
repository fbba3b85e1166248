// Leases after an outage of the store: a live holder renews before another process may take over.
#include "core/membership/lease.hpp"
#include "core/membership/store_contact.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using membership::shard_lease;
using membership::store_contact;
using membership::write_result;

namespace {

constexpr time_point start{1h};

/// Two processes and one lease, held by the first as version 1 since `start`.
struct two_processes {
    two_processes() {
        holder.observe_record({0, 0}, std::nullopt, start);
        const auto write = holder.take(start);
        holder.written(write->sequence, write_result::stored, {0, 1}, start);
        other.observe_record({0, 1}, membership::decode_lease(write->value), start);
    }
    shard_lease holder{{"a", "a:1", 1}, {}};
    shard_lease other{{"b", "b:1", 2}, {}};
    store_contact contact{{1s, 1s}}; // of `other`
};

} // namespace

TEST(store_contact, live_holder_renews_after_an_outage_before_a_take_over_is_allowed) {
    two_processes both;
    both.contact.failed(start + 1s);
    ASSERT_TRUE(both.other.takeable(start + 5s)) << "the term has ended on the other process's clock";
    EXPECT_FALSE(both.contact.may_take_over(start + 5s)) << "the outage continues";
    const time_point back = start + 6s;
    both.contact.answered(back);
    EXPECT_FALSE(both.contact.may_take_over(back));
    const auto renewal = both.holder.write("1", back + 300ms);
    ASSERT_TRUE(renewal.has_value());
    both.holder.written(renewal->sequence, write_result::stored, {0, 2}, back + 310ms);
    both.other.observe_version({0, 2}, back + 500ms);
    ASSERT_TRUE(both.contact.may_take_over(back + 1s));
    EXPECT_FALSE(both.other.takeable(back + 1s));
    EXPECT_TRUE(both.holder.held(back + 1s));
    EXPECT_EQ(both.holder.fencing(), 1);
}

TEST(store_contact, lease_of_a_holder_lost_during_an_outage_may_be_taken_after_the_grace) {
    two_processes both;
    both.contact.failed(start + 1s);
    both.contact.answered(start + 6s);
    both.other.observe_version({0, 1}, start + 6s);
    EXPECT_FALSE(both.contact.may_take_over(start + 6'999ms));
    EXPECT_TRUE(both.contact.may_take_over(start + 7s));
    EXPECT_TRUE(both.other.takeable(start + 7s));
}

TEST(store_contact, short_failures_do_not_delay_a_take_over) {
    store_contact contact{{1s, 1s}};
    EXPECT_TRUE(contact.may_take_over(start)) << "nothing has failed yet";
    contact.failed(start);
    contact.answered(start + 999ms);
    EXPECT_TRUE(contact.may_take_over(start + 999ms));
}

TEST(store_contact, outage_starts_with_the_first_failed_call) {
    store_contact contact{{1s, 1s}};
    contact.failed(start);
    contact.failed(start + 900ms);
    contact.answered(start + 1s);
    EXPECT_FALSE(contact.may_take_over(start + 1s));
    contact.failed(start + 1'100ms);
    contact.answered(start + 1'200ms);
    EXPECT_FALSE(contact.may_take_over(start + 1'900ms)) << "still in the grace period of the first outage";
    EXPECT_TRUE(contact.may_take_over(start + 2s));
}
