// Properties of tokens set aside in the shard's object: however holders die, are paused, lose the store or
// the answers to their writes, in any window no more than rate x window + burst is spent; and a successor
// serves at once what its predecessor left.
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
constexpr auto lease_term =
    1'000ms; // shorter than a grant's term, so that grants outlive their holder's lease
constexpr limits::bucket_limits whole{rate, burst, 1, false};

/// The shard's object: written by conditional update only.
struct stored_object {
    std::int64_t version = 0;
    std::int64_t fencing = 0;
    double reserve = burst;
    bool served = false; // an entry was ever written
};

/// A holder under test with what it knows of the object.
struct holder {
    std::unique_ptr<limits::bucket> bucket;
    std::int64_t known_version = 0;
    time_point held_until{};
    bool confirmed = false; // its first entry stands in the store
    double share = 1;       // of the rate while its lease is valid; half of it afterwards
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

/// Two holders in turn, one store, one spender that uses each grant at the worst moment.
class reserve_world {
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
            now_ += 4s; // the holder was paused, or the store is out of reach
        else if (kind < 85)
            kill();
        else
            take_over();
    }

    /// Most tokens above rate x window + burst in any window.
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
        for (const spending& one : spent_)
            sum += one.tokens;
        return sum;
    }

private:
    void update_lease(holder& one) {
        if (one.lapsed || now_ < one.held_until)
            return;
        one.set_lapsed(true, now_);
    }
    void draw(int amount) {
        for (holder& one : holders_) {
            if (!one.bucket || one.dead || !one.confirmed)
                continue;
            update_lease(one);
            (void)one.bucket->needs_write(now_, amount);
            const auto drawn = one.bucket->draw(now_, amount, {});
            if (drawn.tokens == 0)
                continue;
            // Alternately spent at once and at the very end of the grant's term.
            const bool late = ++draws_ % 2 == 0;
            due_.push_back({late ? now_ + drawn.valid_for : now_, static_cast<double>(drawn.tokens)});
        }
        spend_due();
    }
    /// Renewal: a conditional update whose answer may be lost, or which isn't sent at all.
    void write(int luck) {
        for (holder& one : holders_) {
            if (!one.bucket || one.dead)
                continue;
            update_lease(one);
            const double proposed = one.bucket->propose_reserve(now_);
            if (luck % 5 == 0)
                continue; // the store wasn't reached
            if (one.known_version != object_.version) {
                if (luck % 3 == 0)
                    one.die(now_); // refused: another holder has written, and it stands down
                continue;
            }
            object_ = {object_.version + 1, object_.fencing, proposed, true};
            if (luck % 5 == 1)
                continue; // took effect, the answer is lost; the next write learns the version by reading
            one.known_version = object_.version;
            one.held_until = now_ + lease_term;
            one.confirmed = true;
            if (one.lapsed)
                one.set_lapsed(false, now_);
            one.bucket->confirm_reserve(now_);
        }
        // A lost answer is settled by reading: the object is the writer's own.
        if (luck % 5 == 1 && current_ != nullptr && !current_->dead)
            current_->known_version = object_.version;
    }
    void kill() {
        if (current_ != nullptr)
            current_->die(now_);
    }
    /// Share of the present holder: all but half of what each predecessor had that may still have grants out.
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
            return; // the term has not passed
        holders_.push_back({});
        holder& next = holders_.back();
        const limits::predecessor_state left =
            object_.served ? limits::predecessor_state{object_.reserve, burst - object_.reserve}
                           : limits::predecessor_state{burst, 0};
        object_ = {object_.version + 1, object_.fencing + 1, object_.reserve, object_.served};
        next.known_version = object_.version;
        // A predecessor that may still grant goes on with half of its share; the successor plans with the
        // rest.
        next.share = share_of(next);
        next.bucket = std::make_unique<limits::bucket>(
            now_, object_.fencing, limits::bucket_limits{rate, burst, next.share, false}, left);
        next.held_until = now_ + lease_term;
        current_ = &next;
    }
    void spend_due() {
        std::erase_if(due_, [this](const spending& one) {
            if (one.at > now_)
                return false;
            spent_.push_back(one);
            return true;
        });
    }

    time_point now_ = time_point{} + 1'000s;
    stored_object object_;
    std::vector<holder> holders_ = [] {
        std::vector<holder> out;
        out.reserve(4'096); // pointers into it stay valid
        return out;
    }();
    holder* current_ = nullptr;
    std::vector<spending> due_;
    std::vector<spending> spent_;
    int draws_ = 0;
};

} // namespace

RC_GTEST_PROP(limits_reserve, no_window_exceeds_rate_and_burst_over_changes_of_holder, ()) {
    reserve_world world;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::resize(rc::kNominalSize,
                             rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(1, 1'200))));
    for (const auto& [kind, amount] : steps)
        world.step(kind, amount);
    RC_ASSERT(world.worst_excess() <= 1e-6);
    RC_TAG(world.total() > burst ? "spent more than one burst" : "spent less");
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

TEST(limits_reserve, successor_serves_at_once_what_was_left) {
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

TEST(limits_reserve, successor_of_a_holder_not_seen_to_stop_serves_at_once_within_its_half) {
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
