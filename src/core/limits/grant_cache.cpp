#include "core/limits/grant_cache.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::limits {
namespace {

using namespace std::chrono_literals;

constexpr common::duration draw_ahead = 500ms;   // a draw covers the demand of this time
constexpr common::duration refill_below = 150ms; // draws again when less than the demand of this time is left
constexpr common::duration return_before = 500ms; // unspent tokens go back this long before the grant ends
constexpr common::duration settle_gap = 200ms;    // between draws that only settle
constexpr common::duration demand_decay = 1s;     // time constant of the demand estimate
constexpr common::duration hold_least = 20ms;     // after a short answer no draw for at least this
constexpr common::duration hold_most = 250ms;     // and at most this

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

reserve_result grant_cache::reserve(common::time_point now, std::int64_t tokens) {
    expire(now);
    std::int64_t missing = std::max<std::int64_t>(tokens, 0);
    const std::int64_t there = available(now);
    if (there < missing && now < hold_until_) {
        // The holder has just said that it hasn't so much: refuse instead of asking it again.
        if (hold_retry_ == never)
            return {reserve_outcome::refused, 0, never};
        const double part = static_cast<double>(missing - there) / static_cast<double>(hold_missing_);
        const auto scaled = std::chrono::duration_cast<common::duration>(hold_retry_ * std::min(part, 1.0));
        return {reserve_outcome::refused, 0, std::max(scaled, hold_until_ - now)};
    }
    if (there < missing) {
        waiting_ += missing;
        return {reserve_outcome::wait, 0, {}};
    }
    note_demand(now, missing);
    reservation made;
    for (auto& [id, one] : grants_) {
        const std::int64_t taken = std::min(one.free, missing);
        if (taken == 0)
            continue;
        one.free -= taken;
        one.reserved += taken;
        one.counts.spent += taken;
        missing -= taken;
        made.parts.push_back({id, taken});
    }
    const reservation_id id = ++last_id_;
    reservations_.emplace(id, std::move(made));
    return {reserve_outcome::served, id, {}};
}

void grant_cache::settle(common::time_point now, reservation_id reservation, std::int64_t used) {
    const auto found = reservations_.find(reservation);
    if (found == reservations_.end())
        return;
    expire(now);
    std::int64_t left = std::max<std::int64_t>(used, 0);
    for (const part& one : found->second.parts) {
        const std::int64_t taken = std::min(left, one.tokens);
        release(now, one, taken);
        left -= taken;
    }
    reservations_.erase(found);
}

void grant_cache::release(common::time_point now, const part& one, std::int64_t used) {
    const auto found = grants_.find(one.grant);
    if (found == grants_.end()) // lapsed at the holder: the whole part counts as spent
        return;
    grant& mine = found->second;
    mine.reserved -= one.tokens;
    const std::int64_t unused = one.tokens - used;
    // What the holder knows to be spent may have accrued anew there: only the holder can give that back.
    const std::int64_t untold = mine.counts.spent - mine.reported.spent;
    const std::int64_t freed = now < mine.expires ? std::min(unused, untold) : 0;
    mine.counts.spent -= freed;
    mine.free += freed;
    mine.counts.corrected += unused - freed;
}

std::optional<draw_order> grant_cache::next_draw(common::time_point now) {
    expire(now);
    if (flight_)
        return std::nullopt;
    give_up_ending(now);
    draw_order out{0, amount_to_draw(now), settlements()};
    if (out.wanted == 0 && (out.settled.empty() || now < settle_after_))
        return std::nullopt;
    settle_after_ = now + settle_gap;
    for (const settlement& one : out.settled)
        grants_.at(one.grant).reported = one;
    out.id = ++last_id_;
    flight_ = flight{out.id, now, out.wanted, out.settled};
    return out;
}

void grant_cache::draw_answered(common::time_point now, draw_id id, const draw_answer& answer) {
    expire(now);
    const bool mine = flight_ && flight_->id == id;
    if (answer.tokens > 0 && !grants_.contains(answer.grant)) {
        grant got{.tokens = answer.tokens, .expires = (mine ? flight_->sent : now) + answer.valid_for};
        got.counts.grant = answer.grant;
        // An answer that nobody waits for any more, or that came too late, goes back with the next
        // settlement.
        (mine && now < got.expires ? got.free : got.counts.returned) = answer.tokens;
        grants_.emplace(answer.grant, got);
    }
    if (!mine)
        return;
    for (const settlement& one : flight_->settled)
        if (const auto found = grants_.find(one.grant); found != grants_.end())
            found->second.confirmed = one;
    if (answer.tokens < flight_->wanted) {
        hold_until_ = now + std::clamp(answer.retry_after, hold_least, hold_most);
        hold_retry_ = answer.retry_after;
        hold_missing_ = flight_->wanted - answer.tokens;
    }
    waiting_ = 0;
    flight_.reset();
}

void grant_cache::draw_failed(common::time_point now, draw_id id) {
    expire(now);
    if (!flight_ || flight_->id != id)
        return;
    flight_.reset();
    waiting_ = 0;
}

std::optional<common::time_point> grant_cache::next_due(common::time_point now) const {
    if (flight_)
        return std::nullopt;
    if (amount_to_draw(now) > 0)
        return now;
    std::optional<common::time_point> due;
    if (now < hold_until_ && waiting_ > 0)
        due = hold_until_;
    const auto consider = [&due, now](common::time_point at) {
        due = std::max(std::min(due.value_or(at), at), now);
    };
    for (const auto& [id, one] : grants_) {
        if (one.free > 0)
            consider(one.expires - return_before);
        if (unsettled(one))
            consider(settle_after_);
    }
    return due;
}

std::int64_t grant_cache::available(common::time_point now) const {
    std::int64_t sum = 0;
    for (const auto& [id, one] : grants_)
        if (now < one.expires)
            sum += one.free;
    return sum;
}

bool grant_cache::unused(common::time_point now) const {
    return !flight_ && reservations_.empty() && waiting_ == 0 && now >= hold_until_ &&
           std::all_of(grants_.begin(), grants_.end(),
                       [now](const auto& entry) { return now >= entry.second.expires; });
}

void grant_cache::expire(common::time_point now) {
    std::erase_if(grants_, [now](const auto& entry) {
        const grant& one = entry.second;
        const bool done = one.free == 0 && one.reserved == 0 && !unsettled(one);
        return done || now >= one.expires + corrected_within;
    });
    for (auto& [id, one] : grants_)
        if (now >= one.expires)
            give_up(one);
}

void grant_cache::give_up_ending(common::time_point now) {
    for (auto& [id, one] : grants_)
        if (one.expires - now <= return_before)
            give_up(one);
}

void grant_cache::give_up(grant& one) {
    one.counts.returned += one.free;
    one.free = 0;
}

/// True if the holder may not know the present counts.
bool grant_cache::unsettled(const grant& one) {
    return one.counts.spent > one.confirmed.spent || one.counts.returned > one.confirmed.returned ||
           one.counts.corrected > one.confirmed.corrected;
}

void grant_cache::note_demand(common::time_point now, std::int64_t tokens) {
    demand_ = demand(now) + static_cast<double>(tokens) / seconds(demand_decay);
    demand_at_ = std::max(now, demand_at_);
}

double grant_cache::demand(common::time_point now) const {
    const double age = std::max(seconds(now - demand_at_), 0.0);
    return demand_ * std::exp(-age / seconds(demand_decay));
}

std::int64_t grant_cache::amount_to_draw(common::time_point now) const {
    if (now < hold_until_)
        return 0;
    const double per_second = demand(now);
    const std::int64_t there = available(now);
    const auto ahead = static_cast<std::int64_t>(per_second * seconds(draw_ahead));
    const auto least = static_cast<std::int64_t>(per_second * seconds(refill_below));
    const std::int64_t needed = std::max<std::int64_t>(waiting_ - there, 0);
    if (needed == 0 && there >= least)
        return 0;
    return needed + std::max<std::int64_t>(ahead - std::max<std::int64_t>(there - waiting_, 0), 0);
}

std::vector<settlement> grant_cache::settlements() const {
    std::vector<settlement> out;
    for (const auto& [id, one] : grants_)
        if (unsettled(one))
            out.push_back(one.counts);
    return out;
}

} // namespace waxwinglb::core::limits
