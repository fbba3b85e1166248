/// Simulation for the properties of rate limits: several holders, routers and a store with an explicit clock.
/// Each step is one word of a random schedule. Messages are lost, duplicated and delayed; holders crash,
/// pause, lose the store, take over and hand over.
#pragma once

#include "core/limits/bucket.hpp"
#include "core/limits/grant_cache.hpp"
#include "core/limits/shares.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglb::tests {

using namespace std::chrono_literals;
namespace limits = core::limits;
using core::common::duration;
using core::common::time_point;

constexpr duration lease_term = 3s;
constexpr duration lease_margin = 500ms;

/// Tokens spent at one instant.
struct spending {
    time_point at;
    std::int64_t tokens = 0;
};

/// Maximum over all windows of the tokens above rate x window + burst; at most 0 if the limit holds.
inline double worst_excess(const std::vector<spending>& all, double rate, double burst) {
    double worst = -burst;
    for (std::size_t first = 0; first < all.size(); ++first) {
        double sum = 0;
        for (std::size_t last = first; last < all.size(); ++last) {
            sum += static_cast<double>(all[last].tokens);
            const double window = std::chrono::duration<double>(all[last].at - all[first].at).count();
            worst = std::max(worst, sum - rate * window - burst);
        }
    }
    return worst;
}

class limits_world {
public:
    limits_world(double rate, double burst) : rate_(rate), burst_(burst) {
        take_over(0, false);
        advance(limits::grant_term + limits::lapse_margin + 1s);
        holders_[0].lease_until = now_ + lease_term;
        changed_ = now_;
    }

    void step(std::uint32_t word) {
        const std::uint32_t kind = word % 100;
        const std::uint32_t a = (word / 100) % 64;
        const std::uint32_t b = (word / 6400) % 4096;
        advance(std::chrono::milliseconds(b % 16 == 0 ? b : b % 120));
        const std::size_t holder = a % holders_.size();
        const std::size_t router = a % routers_.size();
        if (kind < 25)
            spend(router, 1 + static_cast<std::int64_t>(b % 40));
        else if (kind < 40)
            draw_without_spending(router, b);
        else if (kind < 50)
            spend_all(b);
        else if (kind < 68)
            settle(a, b);
        else if (kind < 76)
            draw(router, b);
        else if (kind < 88)
            renew();
        else if (kind < 89)
            holders_[holder].bucket.reset(); // crashes
        else if (kind < 90)
            holders_[holder].paused_until = now_ + std::chrono::milliseconds(b * 2);
        else if (kind < 91)
            holders_[holder].cut_until = now_ + std::chrono::milliseconds(b * 4);
        else if (kind < 96)
            try_take_over(holder);
        else if (kind < 97)
            hand_over(holder, b);
        else
            stand_down(holder);
    }

    [[nodiscard]] std::vector<spending> spent() const {
        std::vector<spending> out;
        for (const auto& one : spent_)
            out.push_back({one.at, one.settled ? one.used : one.tokens});
        std::sort(out.begin(), out.end(), [](const spending& x, const spending& y) { return x.at < y.at; });
        return out;
    }

private:
    struct holder {
        std::optional<limits::bucket> bucket;
        limits::shares shares;
        std::int64_t fencing = 0;
        time_point lease_until{};
        time_point paused_until{};
        time_point cut_until{};
    };
    struct reservation {
        std::size_t router = 0;
        limits::reservation_id id = 0;
        time_point at{};
        std::int64_t tokens = 0;
        std::int64_t used = 0;
        bool settled = false;
    };
    struct message {
        time_point at{};
        std::function<void()> deliver;
    };

    void advance(duration by) {
        const time_point until = now_ + by;
        for (;;) {
            auto next = std::min_element(mail_.begin(), mail_.end(),
                                         [](const message& x, const message& y) { return x.at < y.at; });
            if (next == mail_.end() || next->at > until)
                break;
            now_ = std::max(now_, next->at);
            const auto deliver = std::move(next->deliver);
            mail_.erase(next);
            deliver();
        }
        now_ = until;
    }

    // Delivers a message: one in eight is lost, one in eight duplicated, some are delayed for long.
    void send(std::uint32_t luck, const std::function<void()>& deliver) {
        if (luck % 8 == 0)
            return;
        const duration late = std::chrono::milliseconds(luck % 5 == 0 ? luck : luck % 20);
        mail_.push_back({now_ + late, deliver});
        if (luck % 8 == 1)
            mail_.push_back({now_ + late * 3, deliver});
    }

    void spend(std::size_t router, std::int64_t tokens) {
        const auto got = routers_[router].reserve(now_, tokens);
        if (got.outcome == limits::reserve_outcome::served)
            spent_.push_back({router, got.reservation, now_, tokens, 0, false});
        if (got.outcome != limits::reserve_outcome::wait)
            return;
        waiting_[router].push_back(tokens);
        draw(router, luck_ = luck_ * 1664525 + 1013904223);
    }

    // Draws a whole burst for a request that never spends it: the tokens stay in the router's cache.
    void draw_without_spending(std::size_t router, std::uint32_t luck) {
        routers_[router].reserve(now_, static_cast<std::int64_t>(burst_));
        draw(router, luck);
    }

    // Spends at one instant all that the routers hold: the worst case for a window.
    void spend_all(std::uint32_t which) {
        for (std::size_t router = 0; router < routers_.size(); ++router) {
            const std::int64_t available = routers_[router].available(now_);
            if (available > 0 && (which >> router) % 4 != 0)
                spend(router, available);
        }
    }

    void reserve_waiting(std::size_t router) {
        for (const std::int64_t tokens : std::exchange(waiting_[router], {}))
            spend(router, tokens);
    }

    void settle(std::uint32_t pick, std::uint32_t part) {
        std::size_t open = pick;
        for (auto& one : spent_) {
            if (one.settled || open-- % 3 != 0)
                continue;
            one.settled = true;
            one.used = one.tokens * (part % 4) / 3;
            routers_[one.router].settle(now_, one.id, one.used);
            return;
        }
    }

    void draw(std::size_t router, std::uint32_t luck) {
        const auto order = routers_[router].next_draw(now_);
        if (!order)
            return;
        mail_.push_back({now_ + std::chrono::milliseconds(luck % 600), [this, router, id = order->id] {
                             routers_[router].draw_failed(now_, id); // its answer may still arrive
                         }});
        const std::size_t to = (luck / 8) % 8 == 0 ? luck % holders_.size() : owner_;
        send(luck / 3, [this, router, to, luck, asked = *order] { answer(router, to, luck / 7, asked); });
    }

    void answer(std::size_t router, std::size_t to, std::uint32_t luck, const limits::draw_order& asked) {
        holder& at = holders_[to];
        if (now_ < at.paused_until) {
            mail_.push_back({at.paused_until, [=, this] { answer(router, to, luck, asked); }});
            return;
        }
        if (!at.bucket)
            return;
        at.bucket->change_limits(now_, limits_of(at));
        const auto result = at.bucket->draw(now_, asked.requested, asked.settled);
        send(luck, [this, router, id = asked.id, result] {
            routers_[router].draw_answered(now_, id, result);
            reserve_waiting(router);
        });
    }

    [[nodiscard]] limits::bucket_limits limits_of(const holder& at) const {
        return {rate_, burst_, at.shares.share(now_ < at.lease_until)};
    }

    void renew() {
        holder& at = holders_[owner_];
        if (now_ < at.paused_until || now_ < at.cut_until || !at.bucket || at.fencing != fencing_)
            return;
        if (const auto fewer = at.shares.without_lapsed(now_))
            at.shares = *fewer;
        stored_ = at.shares.encode();
        at.lease_until = now_ + lease_term;
        changed_ = now_;
    }

    void try_take_over(std::size_t who) {
        holder& at = holders_[who];
        if (who == owner_ || at.bucket || now_ < at.paused_until || now_ < at.cut_until ||
            now_ - changed_ < lease_term + lease_margin)
            return;
        take_over(who, false);
    }

    void take_over(std::size_t who, bool stopped) {
        holder& at = holders_[who];
        const auto stored = limits::shares::decode(stored_);
        const std::string last = "h" + std::to_string(owner_);
        at.shares = fencing_ == 0 ? *stored : stored->after({last, last, 1, fencing_, 0}, stopped);
        at.fencing = ++fencing_;
        at.lease_until = now_ + lease_term;
        at.bucket.emplace(now_, at.fencing, limits_of(at));
        stored_ = at.shares.encode();
        owner_ = who;
        changed_ = now_;
    }

    // Planned handover: the shard is released in the store; the message with the balance may be lost or late.
    void hand_over(std::size_t who, std::uint32_t luck) {
        const std::size_t from = owner_;
        holder& old = holders_[from];
        if (who == from || !old.bucket || holders_[who].bucket || now_ < old.paused_until ||
            now_ < old.cut_until || old.fencing != fencing_)
            return;
        const auto balance = old.bucket->hand_over(now_);
        const auto number = old.fencing;
        old.bucket.reset();
        take_over(who, true);
        send(luck, [this, who, balance, number] {
            if (holders_[who].bucket)
                holders_[who].bucket->adopt(now_, balance, number);
        });
    }

    // A former holder reaches the store and stops, or its VM is found to be gone. The current holder learns
    // it.
    void stand_down(std::size_t who) {
        holder& at = holders_[who];
        if (who == owner_ || (at.bucket && (now_ < at.paused_until || now_ < at.cut_until)))
            return;
        at.bucket.reset();
        holders_[owner_].shares.confirm_stopped("h" + std::to_string(who), 1, now_);
    }

    double rate_;
    double burst_;
    time_point now_ = time_point{} + std::chrono::hours(1);
    std::array<holder, 3> holders_;
    std::array<limits::grant_cache, 3> routers_;
    std::array<std::vector<std::int64_t>, 3> waiting_; // requests told to wait for a draw
    std::uint32_t luck_ = 1;
    std::vector<reservation> spent_;
    std::vector<message> mail_;
    std::size_t owner_ = 0;    // according to the store
    std::int64_t fencing_ = 0; // in the store
    time_point changed_{};     // last write of the store's object
    nlohmann::json stored_;    // shares
};

} // namespace waxwinglb::tests
