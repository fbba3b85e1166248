// Shard leases over a store connection that delays, duplicates and loses messages.
#include "core/membership/lease.hpp"
#include "core/membership/store_eras.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::store_position;
using common::time_point;
using membership::lease_record;
using membership::lease_write;
using membership::shard_lease;
using membership::write_result;

namespace {

/// The shard states in these tests are counters.
std::int64_t counter_of(const std::string& state) {
    return state == "{}" ? 0 : std::stoll(state);
}

/// One object of the platform's store. Checks each accepted write against the one before.
struct fake_store {
    common::store_position version;
    std::optional<lease_record> value;
    common::store_position copied_version;
    std::optional<lease_record> copied_value;
    std::int64_t last_fencing = 0; // of all eras; the process that used it may still act

    void take_copy() {
        copied_version = version;
        copied_value = value;
    }
    /// `by_name`: each era has an object of its own, which is absent at first.
    void restore(bool by_name) {
        version = {version.era + 1, by_name ? 0 : copied_version.revision};
        value = by_name ? std::nullopt : copied_value;
    }

    bool put(const lease_write& write) {
        if (write.if_version != version)
            return false;
        const auto next = membership::decode_lease(write.value);
        RC_ASSERT(next.has_value());
        const lease_record before = value.value_or(lease_record{});
        const bool ended = before.fencing < membership::fencing_floor(version.era); // by a restore
        const bool same_holder = !ended && before.boot == next->boot && before.holder == next->holder;
        const bool release = next->holder.empty();
        if (same_holder || release) {
            RC_ASSERT(next->boot == before.boot); // only the holder renews or releases
            RC_ASSERT(next->fencing == before.fencing);
        } else {
            RC_ASSERT(next->fencing > last_fencing);
            RC_ASSERT(version.era > 0 || next->fencing == before.fencing + 1);
            RC_ASSERT(next->state == before.state); // a take-over keeps all decisions
            last_fencing = next->fencing;
        }
        RC_ASSERT(counter_of(next->state) >=
                  counter_of(before.state)); // an older state never replaces a newer one
        value = next;
        ++version.revision;
        return true;
    }
};

struct message {
    int sender = 0;
    bool is_read = false;
    lease_write write;
    int copies = 1;        // still to reach the store, perhaps long after the sender gave up
    bool arrived = false;  // a copy reached the store
    bool answered = false; // the sender got an answer or a timeout
    write_result result = write_result::unknown;
    common::store_position version;
    std::optional<lease_record> read;
};

struct actor {
    explicit actor(const std::string& own_name, std::int64_t boot, common::duration clock_offset)
        : name(own_name), lease({name, name + ":1", boot, true}, {}), offset(clock_offset) {}
    std::string name;
    shard_lease lease;
    common::duration offset; // steady clocks of two VMs are unrelated
    bool paused = false;
    bool reading = false;
};

class simulation {
public:
    /// `restores`: the store comes back from an older copy now and then.
    simulation(std::uint64_t seed, int stewards, bool restores = false)
        : random_(seed), restores_(restores), by_name_(seed % 2 == 0) {
        for (int i = 0; i < stewards; ++i)
            actors_.emplace_back("s" + std::to_string(i), ++last_boot_, std::chrono::hours{pick(1'000)});
    }
    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            step();
            int holders = 0;
            for (const actor& process : actors_)
                holders += process.lease.held(local(process)) ? 1 : 0;
            RC_ASSERT(holders <= 1); // each measured by its own clock
            ever_held_ = ever_held_ || holders == 1;
        }
    }
    [[nodiscard]] std::int64_t version() const { return store_.version.revision; }
    [[nodiscard]] std::int64_t fencing() const { return store_.value ? store_.value->fencing : 0; }

private:
    int pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
    [[nodiscard]] time_point local(const actor& process) const { return now_ + process.offset; }

    void step() {
        now_ += std::chrono::milliseconds{pick(150)};
        if (restores_ && pick(100) == 0)
            return pick(2) == 0 ? store_.take_copy() : store_.restore(by_name_);
        if (pick(500) == 0)
            return restart(pick(static_cast<int>(actors_.size())));
        const int action = pick(100);
        if (action < 2)
            return pause_or_wake();
        if (action < 40)
            return act(pick(static_cast<int>(actors_.size())));
        if (messages_.empty())
            return;
        message& sent = messages_[static_cast<std::size_t>(pick(static_cast<int>(messages_.size())))];
        sent.arrived || pick(5) == 0 ? answer(sent) : deliver(sent);
        std::erase_if(messages_, [](const message& each) { return each.copies == 0 && each.answered; });
    }
    void pause_or_wake() {
        actor& process = actors_[static_cast<std::size_t>(pick(static_cast<int>(actors_.size())))];
        process.paused = !process.paused && pick(2) == 0; // awake more often than not
        if (pick(2) == 0)
            now_ += 4s; // past a whole term
    }
    /// A process crashes and restarts. Its messages may still reach the store, but it gets no answer to them.
    void restart(int index) {
        for (message& sent : messages_)
            sent.answered = sent.answered || sent.sender == index;
        actor& process = actors_[static_cast<std::size_t>(index)];
        process = actor{process.name, ++last_boot_, std::chrono::hours{pick(1'000)}};
    }
    void act(int index) {
        actor& process = actors_[static_cast<std::size_t>(index)];
        if (process.paused)
            return;
        const time_point now = local(process);
        if (pick(3) == 0)
            process.lease.observe_version(
                pick(4) == 0 ? store_position{0, std::max<std::int64_t>(0, store_.version.revision - 1)}
                             : store_.version,
                now);
        if (pick(10) == 0) // another call's answer tells of the era
            process.lease.enter_era(store_.version.era, now);
        if (process.lease.needs_read() && !process.reading && !process.lease.writing()) {
            process.reading = true;
            return post(index, std::nullopt);
        }
        std::optional<lease_write> write;
        if (process.lease.releasing() || (process.lease.held(now) && pick(30) == 0))
            write = process.lease.release(process.lease.record().state, now);
        else if (process.lease.mine())
            write = process.lease.write(std::to_string(1 + counter_of(process.lease.record().state)), now);
        else
            write = process.lease.take(now);
        if (write)
            post(index, write);
    }
    void post(int sender, const std::optional<lease_write>& write) {
        message out;
        out.sender = sender;
        out.is_read = !write.has_value();
        out.write = write.value_or(lease_write{});
        const int delivery = pick(10);
        out.copies = delivery == 0 ? 0 : delivery == 1 ? 2 : 1;
        messages_.push_back(out);
    }

    void deliver(message& sent) {
        if (sent.copies == 0)
            return;
        --sent.copies;
        if (sent.is_read) {
            sent.version = store_.version;
            sent.read = store_.value;
        } else if (const bool stored = store_.put(sent.write); !sent.arrived) {
            sent.result = stored ? write_result::stored : write_result::conflict;
            sent.version = store_.version;
        }
        sent.arrived = true;
    }
    /// The sender receives the result or a timeout.
    void answer(message& sent) {
        actor& to = actors_[static_cast<std::size_t>(sent.sender)];
        if (sent.answered || to.paused)
            return;
        sent.answered = true;
        const bool lost = !sent.arrived || pick(6) == 0;
        if (sent.is_read) {
            to.reading = false;
            if (!lost)
                to.lease.observe_record(sent.version, sent.read, local(to));
            return;
        }
        const bool never_sent = sent.copies == 0 && !sent.arrived;
        to.lease.written(sent.write.sequence,
                         never_sent ? write_result::not_sent
                         : lost     ? write_result::unknown
                                    : sent.result,
                         sent.version, local(to));
    }

    std::mt19937_64 random_;
    bool restores_;
    bool by_name_;
    time_point now_{};
    fake_store store_;
    std::vector<actor> actors_;
    std::vector<message> messages_;
    bool ever_held_ = false;
    std::int64_t last_boot_ = 100;
};

shard_lease make_lease(const std::string& name, std::int64_t boot) {
    return shard_lease{{name, name + ":1", boot}, {}};
}

} // namespace

RC_GTEST_PROP(lease, never_two_holders_and_fencing_rises_under_lost_late_and_duplicated_writes, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const int stewards = *rc::gen::inRange(2, 5);
    simulation all{seed, stewards};
    all.run(2'000);
    RC_CLASSIFY(all.fencing() >= 3, "changed hands");
    RC_CLASSIFY(all.version() >= 50, "50 writes");
}

RC_GTEST_PROP(lease, never_two_holders_and_fencing_rises_although_the_store_is_restored, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    simulation world{seed, *rc::gen::inRange(2, 5), true};
    world.run(1'500);
}

TEST(lease, a_holder_holds_nothing_in_a_new_era_until_it_has_taken_the_lease_again) {
    const time_point start{1h};
    shard_lease holder = make_lease("a", 1);
    holder.observe_record({1, 0}, std::nullopt, start);
    const auto first = holder.take(start + 10s);
    ASSERT_TRUE(first.has_value());
    holder.written(first->sequence, write_result::stored, {1, 5}, start + 10s);
    ASSERT_TRUE(holder.held(start + 11s));
    const auto renewal = holder.write("1", start + 11s);
    holder.enter_era(2, start + 11s);
    EXPECT_FALSE(holder.held(start + 11s));
    holder.written(renewal->sequence, write_result::stored, {1, 6}, start + 11s); // late, of the old era
    EXPECT_FALSE(holder.held(start + 11s));
    EXPECT_TRUE(holder.needs_read());
    holder.observe_record({2, 0}, std::nullopt, start + 11s);
    const auto again = holder.take(start + 11s); // at once: nobody else held it
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->if_version, (store_position{2, 0}));
    holder.written(again->sequence, write_result::stored, {2, 3}, start + 11s);
    EXPECT_TRUE(holder.held(start + 12s));
    EXPECT_GT(holder.fencing(), membership::fencing_floor(2));
}

TEST(lease, a_process_that_never_saw_the_old_era_waits_and_uses_higher_fencing_numbers) {
    const time_point start{1h};
    shard_lease fresh = make_lease("b", 2);
    fresh.observe_record({2, 0}, std::nullopt, start);
    EXPECT_FALSE(fresh.takeable(start + 3s)); // a holder of the old era may not know of the restore yet
    const auto taking = fresh.take(start + 4s);
    ASSERT_TRUE(taking.has_value());
    EXPECT_GT(membership::decode_lease(taking->value)->fencing, membership::fencing_floor(2));
}

TEST(lease, a_restored_record_of_the_process_itself_is_no_lease) {
    const time_point start{1h};
    shard_lease holder = make_lease("a", 1);
    holder.observe_record({0, 0}, std::nullopt, start);
    const auto write = holder.take(start);
    holder.written(write->sequence, write_result::stored, {0, 1}, start);
    const auto record = membership::decode_lease(write->value);
    holder.observe_record({1, 1}, record, start + 1s); // another process may have held it since the copy
    EXPECT_FALSE(holder.mine());
    EXPECT_FALSE(holder.held(start + 1s));
    EXPECT_FALSE(holder.takeable(start + 2s));
    EXPECT_TRUE(holder.takeable(start + 5s));
}

TEST(lease, holder_counts_its_term_from_before_it_sent_the_write) {
    shard_lease one = make_lease("a", 1);
    const time_point start{1h};
    one.observe_record({0, 0}, std::nullopt, start);
    const auto write = one.take(start);
    ASSERT_TRUE(write.has_value());
    one.written(write->sequence, write_result::stored, {0, 5}, start + 2900ms);
    EXPECT_TRUE(one.held(start + 2999ms));
    EXPECT_FALSE(one.held(start + 3000ms));
}

TEST(lease, take_over_waits_term_and_margin_after_the_last_change) {
    shard_lease holder = make_lease("a", 1);
    shard_lease taker = make_lease("b", 2);
    const time_point start{1h};
    holder.observe_record({0, 0}, std::nullopt, start);
    const auto write = holder.take(start);
    holder.written(write->sequence, write_result::stored, {0, 1}, start);
    taker.observe_record({0, 1}, membership::decode_lease(write->value), start);
    taker.observe_version({0, 1}, start + 2s); // unchanged version: the wait does not restart
    EXPECT_FALSE(taker.take(start + 3299ms).has_value());
    const auto taken = taker.take(start + 3300ms);
    ASSERT_TRUE(taken.has_value());
    EXPECT_EQ(membership::decode_lease(taken->value)->fencing, 2);
}

TEST(lease, restarted_process_takes_only_its_own_lease_without_waiting) {
    const time_point start{1h};
    shard_lease before = make_lease("a", 1);
    before.observe_record({0, 0}, std::nullopt, start);
    const auto record = membership::decode_lease(before.take(start)->value);
    shard_lease restarted{{"a", "a:1", 2, true}, {}};
    restarted.observe_record({0, 1}, record, start);
    EXPECT_TRUE(restarted.held_by_previous_start());
    const auto taken = restarted.take(start);
    ASSERT_TRUE(taken.has_value());
    EXPECT_EQ(membership::decode_lease(taken->value)->fencing, 2);
    shard_lease replaced{{"a", "b:1", 3, true}, {}}; // same name, other address: both processes may be alive
    replaced.observe_record({0, 1}, record, start);
    EXPECT_FALSE(replaced.take(start).has_value());
    shard_lease not_reclaiming = make_lease("a", 4);
    not_reclaiming.observe_record({0, 1}, record, start);
    EXPECT_FALSE(not_reclaiming.take(start).has_value()) << "reclaims_own_lease is not set";
}

TEST(lease, deposed_holder_fails_its_next_write_and_loses_the_lease) {
    shard_lease holder = make_lease("a", 1);
    const time_point start{1h};
    holder.observe_record({0, 0}, std::nullopt, start);
    const auto write = holder.take(start);
    holder.written(write->sequence, write_result::stored, {0, 1}, start);
    const auto late =
        holder.write("7", start + 10s); // it was paused; another process took the shard as version 2
    ASSERT_TRUE(late.has_value());
    EXPECT_EQ(late->if_version, (store_position{0, 1}));
    holder.written(late->sequence, write_result::conflict, {0, 0}, start + 10s);
    EXPECT_FALSE(holder.write("8", start + 10s).has_value()) << "it must read first";
    lease_record other;
    other.holder = "b";
    other.boot = 2;
    other.fencing = 2;
    holder.observe_record({0, 2}, other, start + 10s);
    EXPECT_FALSE(holder.mine());
    EXPECT_FALSE(holder.held(start + 10s));
}

TEST(lease, reading_the_own_record_confirms_a_write_whose_answer_was_lost) {
    shard_lease one = make_lease("a", 1);
    const time_point start{1h};
    one.observe_record({0, 0}, std::nullopt, start);
    const auto write = one.take(start);
    one.written(write->sequence, write_result::unknown, {0, 0}, start + 1s);
    EXPECT_FALSE(one.held(start + 1s));
    one.observe_record({0, 9}, membership::decode_lease(write->value), start + 1s);
    EXPECT_TRUE(one.held(start + 2s));
    EXPECT_FALSE(one.held(start + 3s)) << "the term counts from the write, not from the read";
}

TEST(lease, released_lease_is_taken_without_waiting) {
    shard_lease holder = make_lease("a", 1);
    shard_lease taker = make_lease("b", 2);
    const time_point start{1h};
    holder.observe_record({0, 0}, std::nullopt, start);
    const auto write = holder.take(start);
    holder.written(write->sequence, write_result::stored, {0, 1}, start);
    const auto release = holder.release(R"({"kept":1})", start + 100ms);
    ASSERT_TRUE(release.has_value());
    EXPECT_FALSE(holder.held(start + 100ms)) << "no decisions once the release may have taken effect";
    taker.observe_record({0, 2}, membership::decode_lease(release->value), start + 101ms);
    const auto taken = taker.take(start + 101ms);
    ASSERT_TRUE(taken.has_value());
    EXPECT_EQ(membership::decode_lease(taken->value)->state, R"({"kept":1})");
    EXPECT_EQ(membership::decode_lease(taken->value)->fencing, 2);
}

TEST(lease, malformed_records_are_refused) {
    for (const char* text :
         {"", "{", "[]", "{}", R"({"holder":1})", R"({"holder":"a","address":"b","boot":"x"})"})
        EXPECT_FALSE(membership::decode_lease(text).has_value()) << text;
}

TEST(lease, fair_shares_cover_all_shards) {
    EXPECT_EQ(membership::fair_share(16, 3), 6);
    EXPECT_EQ(membership::fair_share(16, 0), 16);
    EXPECT_EQ(membership::fair_share(1, 5), 1);
}
