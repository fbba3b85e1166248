// Tests of the token reserve stored in the shard's object. In any time window at most rate x window + burst
// tokens are spent, even if holders die, are paused, or lose the store or the answers to their writes. A
// successor grants at once what its predecessor left.
#include "core/limits/bucket.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;

namespace {

constexpr double rate = 400;
constexpr double burst = 1'000;
constexpr auto lease_term = 1'000ms; // shorter than a grant's term, so grants outlive their holder's lease
constexpr limits::bucket_limits whole{rate, burst, 1, false};

/// The shard's object, written by conditional update only.
struct stored_object {
    std::int64_t version = 0;
    std::int64_t fencing = 0;
    double reserve = burst;
    bool served = false; // an entry has been written
};

/// A holder under test and what it knows of the object.
struct holder {
    std::unique_ptr<limits::bucket> bucket;
    std::int64_t known_version = 0;
    time_point held_until{};
    bool confirmed = false; // its first entry is stored
    double share = 1;       // of the rate while its lease is valid; halved afterwards
    bool lapsed = false;
    bool dead = false;
    time_point died_at{};

    void die(time_point now) {
        dead = true;
        died_at = now;
    }
    void set_lapsed(bool value, time_point now) {
        lapsed = value;
        bucket->change_limits(now, {rate, burst, value ? share / 2 : share, value});
    }
};

struct spending {
    time_point at;
    double tokens;
};

/// Successive holders, one store, and a spender that uses grants at once or as late as possible.
class reserve_simulation {
public:
    void step(int kind, int amount) {
        now_ += std::chrono::milliseconds(amount % 400);
        spend_due();
        regain_shares();
        if (kind < 40)
            draw(amount);
        else if (kind < 80)
            write(amount);
        else if (kind < 82)
            now_ += 4s; // the holder was paused, or the store couldn't be reached
        else if (kind < 85)
            kill();
        else
            take_over();
    }

    /// The most tokens spent in any window beyond rate x window + burst.
    [[nodiscard]] double worst_excess() {
        now_ += 10s;
        spend_due();
        std::sort(spent_.begin(), spent_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        double worst = -burst;
        for (std::size_t first = 0; first < spent_.size(); ++first) {
            double sum = 0;
            for (std::size_t last = first; last < spent_.size(); ++last) {
                sum += spent_[last].tokens;
                const double window =
                    std::chrono::duration<double>(spent_[last].at - spent_[first].at).count();
                worst = std::max(worst, sum - rate * window - burst);
            }
        }
        return worst;
    }
    [[nodiscard]] double total() const {
        double sum = 0;
        for (const spending& item : spent_)
            sum += item.tokens;
        return sum;
    }

private:
    void update_lease(holder& lease_holder) {
        if (lease_holder.lapsed || now_ < lease_holder.held_until)
            return;
        lease_holder.set_lapsed(true, now_);
    }
    void draw(int amount) {
        for (holder& lease_holder : holders_) {
            if (!lease_holder.bucket || lease_holder.dead || !lease_holder.confirmed)
                continue;
            update_lease(lease_holder);
            (void)lease_holder.bucket->needs_write(now_, amount);
            const auto drawn = lease_holder.bucket->draw(now_, amount, {});
            if (drawn.tokens == 0)
                continue;
            // Every other grant is spent at the very end of its term, the rest at once.
            const bool late = ++draws_ % 2 == 0;
            due_.push_back({late ? now_ + drawn.valid_for : now_, static_cast<double>(drawn.tokens)});
        }
        spend_due();
    }
    /// Renewal: a conditional update that may not be sent, or whose answer may be lost.
    void write(int fate) {
        for (holder& lease_holder : holders_) {
            if (!lease_holder.bucket || lease_holder.dead)
                continue;
            update_lease(lease_holder);
            const double proposed = lease_holder.bucket->propose_reserve(now_);
            if (fate % 5 == 0)
                continue; // the update wasn't sent
            if (lease_holder.known_version != object_.version) {
                if (fate % 3 == 0)
                    lease_holder.die(now_); // refused: another holder has written, so this one stops
                continue;
            }
            object_ = {object_.version + 1, object_.fencing, proposed, true};
            if (fate % 5 == 1)
                continue; // took effect, but the answer was lost
            lease_holder.known_version = object_.version;
            lease_holder.held_until = now_ + lease_term;
            lease_holder.confirmed = true;
            if (lease_holder.lapsed)
                lease_holder.set_lapsed(false, now_);
            lease_holder.bucket->confirm_reserve(now_);
        }
        // After a lost answer the current holder reads the object, which is its own, and learns the version.
        if (fate % 5 == 1 && current_ != nullptr && !current_->dead)
            current_->known_version = object_.version;
    }
    void kill() {
        if (current_ != nullptr)
            current_->die(now_);
    }
    /// A holder's share: 1 less half the share of each predecessor that may still have grants outstanding.
    double share_of(const holder& mine) {
        double share = 1;
        for (const holder& former : holders_) {
            if (&former == &mine)
                break;
            const bool over =
                former.dead && now_ >= former.died_at + limits::grant_term + limits::lapse_margin;
            share -= over ? 0 : former.share / 2;
        }
        return share;
    }
    void regain_shares() {
        if (current_ == nullptr || current_->dead)
            return;
        current_->share = share_of(*current_);
        current_->set_lapsed(current_->lapsed, now_);
    }
    void take_over() {
        if (current_ != nullptr && now_ < current_->held_until + 300ms)
            return; // its lease has not expired
        holders_.push_back({});
        holder& next = holders_.back();
        const limits::predecessor_state left =
            object_.served ? limits::predecessor_state{object_.reserve, burst - object_.reserve}
                           : limits::predecessor_state{burst, 0};
        object_ = {object_.version + 1, object_.fencing + 1, object_.reserve, object_.served};
        next.known_version = object_.version;
        // A predecessor that may still grant continues with half of its share; the successor uses the
        // rest.
        next.share = share_of(next);
        next.bucket = std::make_unique<limits::bucket>(
            now_, object_.fencing, limits::bucket_limits{rate, burst, next.share, false}, left);
        next.held_until = now_ + lease_term;
        current_ = &next;
    }
    void spend_due() {
        std::erase_if(due_, [this](const spending& item) {
            if (item.at > now_)
                return false;
            spent_.push_back(item);
            return true;
        });
    }

    time_point now_ = time_point{} + 1'000s;
    stored_object object_;
    std::vector<holder> holders_ = [] {
        std::vector<holder> holders;
        holders.reserve(4'096); // keeps pointers to elements valid
        return holders;
    }();
    holder* current_ = nullptr;
    std::vector<spending> due_;
    std::vector<spending> spent_;
    int draws_ = 0;
};

} // namespace

RC_GTEST_PROP(limits_reserve, no_window_exceeds_rate_and_burst_across_holder_changes, ()) {
    reserve_simulation simulation;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::resize(rc::kNominalSize,
                             rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(1, 1'200))));
    for (const auto& [kind, amount] : steps)
        simulation.step(kind, amount);
    RC_ASSERT(simulation.worst_excess() <= 1e-6);
    RC_TAG(simulation.total() > burst ? "spent more than one burst" : "spent less");
}

TEST(limits_reserve, first_holder_grants_the_whole_burst_once_its_entry_is_stored) {
    const time_point start = time_point{} + 1'000s;
    limits::bucket first{start, 1, whole, {burst, 0}};
    EXPECT_EQ(first.draw(start, 100, {}).tokens, 0) << "nothing may be granted before the entry is stored";
    EXPECT_TRUE(first.needs_write(start, 1'000));
    (void)first.propose_reserve(start);
    first.confirm_reserve(start);
    EXPECT_EQ(first.draw(start, 1'000, {}).tokens, 1'000);
}

TEST(limits_reserve, successor_grants_the_remaining_tokens_at_once) {
    const time_point start = time_point{} + 1'000s;
    limits::bucket first{start, 1, whole, {burst, 0}};
    const double left = first.propose_reserve(start);
    first.confirm_reserve(start);
    limits::bucket second{start + 1'300ms, 2, whole, {left, burst - left}};
    (void)second.needs_write(start + 1'300ms, 300);
    (void)second.propose_reserve(start + 1'300ms);
    second.confirm_reserve(start + 1'300ms);
    EXPECT_EQ(second.draw(start + 1'300ms, 300, {}).tokens, 300);
}

TEST(limits_reserve, successor_of_a_holder_that_may_still_run_grants_at_once_within_half_the_share) {
    const time_point start = time_point{} + 1'000s;
    limits::bucket first{start, 1, whole, {burst, 0}};
    const double left = first.propose_reserve(start);
    const time_point later = start + 1'300ms;
    limits::bucket second{later, 2, {rate, burst, 0.5, false}, {left, burst - left}};
    (void)second.needs_write(later, 300);
    (void)second.propose_reserve(later);
    second.confirm_reserve(later);
    EXPECT_EQ(second.draw(later, 300, {}).tokens, 300);
    EXPECT_LE(second.tokens(later) + second.reserved(), burst / 2);
}

TEST(limits_reserve, unconfirmed_write_frees_nothing) {
    const time_point start = time_point{} + 1'000s;
    limits::bucket holder{start, 1, whole, {burst, 0}};
    (void)holder.propose_reserve(start);
    EXPECT_EQ(holder.draw(start, 100, {}).tokens, 0);
}
