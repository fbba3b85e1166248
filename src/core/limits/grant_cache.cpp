#include "core/limits/grant_cache.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::limits {
namespace {

using namespace std::chrono_literals;

constexpr common::duration draw_ahead = 500ms;    // a draw covers the expected demand of this time
constexpr common::duration refill_below = 150ms;  // draws when the rest covers less than this time's demand
constexpr common::duration return_before = 500ms; // unspent tokens are returned this long before expiry
constexpr common::duration settle_gap = 200ms;    // between draws that only settle
constexpr common::duration demand_decay = 1s;     // time constant of the demand estimate
constexpr common::duration shortage_hold_min = 20ms;  // after a partial grant no draw for at least this time
constexpr common::duration shortage_hold_max = 250ms; // and at most this time

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

reserve_result grant_cache::reserve(common::time_point now, std::int64_t tokens) {
    expire(now);
    std::int64_t missing = std::max<std::int64_t>(tokens, 0);
    const std::int64_t available_now = available(now);
    if (available_now < missing && now < draw_after_) {
        // The holder has just reported too few tokens: refuse instead of drawing again.
        if (shortage_retry_after_ == never)
            return {reserve_outcome::refused, 0, never};
        const double part = static_cast<double>(missing - available_now) / static_cast<double>(shortage_);
        const auto scaled =
            std::chrono::duration_cast<common::duration>(shortage_retry_after_ * std::min(part, 1.0));
        return {reserve_outcome::refused, 0, std::max(scaled, draw_after_ - now)};
    }
    if (available_now < missing) {
        waiting_ += missing;
        return {reserve_outcome::wait, 0, {}};
    }
    note_demand(now, missing);
    reservation made;
    for (auto& [id, entry] : grants_) {
        const std::int64_t taken = std::min(entry.free, missing);
        if (taken == 0)
            continue;
        entry.free -= taken;
        entry.reserved += taken;
        entry.counts.spent += taken;
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
    for (const part& entry : found->second.parts) {
        const std::int64_t taken = std::min(left, entry.tokens);
        release(now, entry, taken);
        left -= taken;
    }
    reservations_.erase(found);
}

void grant_cache::release(common::time_point now, const part& entry, std::int64_t used) {
    const auto found = grants_.find(entry.grant);
    if (found == grants_.end()) // lapsed at the holder: all of it counts as spent
        return;
    grant& held = found->second;
    held.reserved -= entry.tokens;
    const std::int64_t unused = entry.tokens - used;
    // Tokens reported as spent may have accrued again at the holder, so only the holder can return them.
    const std::int64_t unreported = held.counts.spent - held.reported.spent;
    const std::int64_t freed = now < held.expires ? std::min(unused, unreported) : 0;
    held.counts.spent -= freed;
    held.free += freed;
    held.counts.corrected += unused - freed;
}

std::optional<draw_order> grant_cache::next_draw(common::time_point now) {
    expire(now);
    if (in_flight_)
        return std::nullopt;
    return_expiring_tokens(now);
    draw_order out{0, amount_to_draw(now), settlements()};
    if (out.requested == 0 && (out.settled.empty() || now < settle_after_))
        return std::nullopt;
    settle_after_ = now + settle_gap;
    for (const settlement& entry : out.settled)
        grants_.at(entry.grant).reported = entry;
    out.id = ++last_id_;
    in_flight_ = draw_in_progress{out.id, now, out.requested, out.settled};
    return out;
}

void grant_cache::draw_answered(common::time_point now, draw_id id, const draw_answer& answer) {
    expire(now);
    const bool expected = in_flight_ && in_flight_->id == id;
    if (answer.tokens > 0 && !grants_.contains(answer.grant)) {
        grant got{.tokens = answer.tokens, .expires = (expected ? in_flight_->sent : now) + answer.valid_for};
        got.counts.grant = answer.grant;
        // Tokens of an answer that is no longer expected or came too late are returned with the next
        // settlement.
        (expected && now < got.expires ? got.free : got.counts.returned) = answer.tokens;
        grants_.emplace(answer.grant, got);
    }
    if (!expected)
        return;
    for (const settlement& entry : in_flight_->settled)
        if (const auto found = grants_.find(entry.grant); found != grants_.end())
            found->second.confirmed = entry;
    if (answer.tokens < in_flight_->requested) {
        draw_after_ = now + std::clamp(answer.retry_after, shortage_hold_min, shortage_hold_max);
        shortage_retry_after_ = answer.retry_after;
        shortage_ = in_flight_->requested - answer.tokens;
    }
    waiting_ = 0;
    in_flight_.reset();
}

void grant_cache::draw_failed(common::time_point now, draw_id id) {
    expire(now);
    if (!in_flight_ || in_flight_->id != id)
        return;
    in_flight_.reset();
    waiting_ = 0;
}

std::optional<common::time_point> grant_cache::next_due(common::time_point now) const {
    if (in_flight_)
        return std::nullopt;
    if (amount_to_draw(now) > 0)
        return now;
    std::optional<common::time_point> due;
    if (now < draw_after_ && waiting_ > 0)
        due = draw_after_;
    const auto consider = [&due, now](common::time_point at) {
        due = std::max(std::min(due.value_or(at), at), now);
    };
    for (const auto& [id, entry] : grants_) {
        if (entry.free > 0)
            consider(entry.expires - return_before);
        if (has_unconfirmed_counts(entry))
            consider(settle_after_);
    }
    return due;
}

std::int64_t grant_cache::available(common::time_point now) const {
    std::int64_t sum = 0;
    for (const auto& [id, entry] : grants_)
        if (now < entry.expires)
            sum += entry.free;
    return sum;
}

bool grant_cache::unused(common::time_point now) const {
    return !in_flight_ && reservations_.empty() && waiting_ == 0 && now >= draw_after_ &&
           std::all_of(grants_.begin(), grants_.end(),
                       [now](const auto& entry) { return now >= entry.second.expires; });
}

void grant_cache::expire(common::time_point now) {
    std::erase_if(grants_, [now](const auto& item) {
        const grant& entry = item.second;
        const bool done = entry.free == 0 && entry.reserved == 0 && !has_unconfirmed_counts(entry);
        return done || now >= entry.expires + corrected_within;
    });
    for (auto& [id, entry] : grants_)
        if (now >= entry.expires)
            return_free_tokens(entry);
}

void grant_cache::return_expiring_tokens(common::time_point now) {
    for (auto& [id, entry] : grants_)
        if (entry.expires - now <= return_before)
            return_free_tokens(entry);
}

void grant_cache::return_free_tokens(grant& entry) {
    entry.counts.returned += entry.free;
    entry.free = 0;
}

/// True if the holder may not know the current counts.
bool grant_cache::has_unconfirmed_counts(const grant& entry) {
    return entry.counts.spent > entry.confirmed.spent || entry.counts.returned > entry.confirmed.returned ||
           entry.counts.corrected > entry.confirmed.corrected;
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
    if (now < draw_after_)
        return 0;
    const double per_second = demand(now);
    const std::int64_t available_now = available(now);
    const auto ahead = static_cast<std::int64_t>(per_second * seconds(draw_ahead));
    const auto least = static_cast<std::int64_t>(per_second * seconds(refill_below));
    const std::int64_t needed = std::max<std::int64_t>(waiting_ - available_now, 0);
    if (needed == 0 && available_now >= least)
        return 0;
    return needed + std::max<std::int64_t>(ahead - std::max<std::int64_t>(available_now - waiting_, 0), 0);
}

std::vector<settlement> grant_cache::settlements() const {
    std::vector<settlement> out;
    for (const auto& [id, entry] : grants_)
        if (has_unconfirmed_counts(entry))
            out.push_back(entry.counts);
    return out;
}

} // namespace waxwinglb::core::limits
