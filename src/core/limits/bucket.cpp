#include "core/limits/bucket.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace waxwinglb::core::limits {
namespace {

constexpr int fencing_shift = 32;
constexpr std::size_t rooms_kept = 1024; // per customer
constexpr double free_part = 0.25; // of the burst; can be granted between two writes of the shard's object

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

common::duration to_duration(double seconds) {
    return std::chrono::ceil<common::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

bucket::bucket(common::time_point taken_over, std::int64_t fencing, bucket_limits limits,
               predecessor_state left)
    : limits_(limits), fencing_(fencing), at_(taken_over),
      assumed_until_(taken_over + grant_term + lapse_margin), assumed_(std::max(left.outstanding, 0.0)),
      reserved_(std::clamp(left.reserve, 0.0, burst())), proposed_(reserved_) {}

draw_answer bucket::draw(common::time_point now, std::int64_t wanted, std::span<const settlement> settled) {
    advance(now);
    for (const settlement& one : settled)
        settle(one);
    if (wanted <= 0 || closed_)
        return {0, 0, {}, closed_ ? common::duration{grant_term} : common::duration{}};

    wanted_lately_ += static_cast<double>(wanted);
    const auto there = static_cast<std::int64_t>(std::floor(tokens_));
    draw_answer out;
    out.tokens = std::clamp<std::int64_t>(wanted, 0, there);
    if (out.tokens < wanted)
        out.retry_after = wait_for(static_cast<double>(wanted));
    if (out.tokens == 0)
        return out;
    out.grant = (fencing_ << fencing_shift) + ++issued_;
    out.valid_for = grant_term;
    grants_[out.grant] = {.tokens = out.tokens, .lapses = at_ + grant_term + lapse_margin};
    tokens_ -= static_cast<double>(out.tokens);
    outstanding_ += out.tokens;
    return out;
}

void bucket::change_limits(common::time_point now, bucket_limits limits) {
    advance(now);
    if (limits == limits_)
        return;
    limits_ = limits;
    // Beyond its own share this holder can't begin again with what it set aside, nor can a successor.
    if (!limits_.lapsed)
        reserved_ = std::min(reserved_, burst());
    clip();
    rooms_.assign(
        1, {0, corrections_}); // rooms under the old limits say nothing: no corrections of what is spent
    note_room();
}

bool bucket::adopt(common::time_point now, const bucket_balance& balance, std::int64_t from_fencing) {
    advance(now);
    if (adopted_ || closed_ || from_fencing >= fencing_ || at_ >= assumed_until_)
        return false;
    adopted_ = true;
    assumed_ = static_cast<double>(std::max<std::int64_t>(balance.outstanding, 0));
    tokens_ = std::max(balance.tokens - reserved_, 0.0); // the rest stands in the store as set aside
    clip();
    return true;
}

bucket_balance bucket::hand_over(common::time_point now) {
    advance(now);
    const auto assumed = at_ < assumed_until_ ? std::min(assumed_, burst()) : 0.0;
    const bucket_balance out{closed_ ? 0.0 : tokens_ + reserved_,
                             outstanding_ + static_cast<std::int64_t>(std::ceil(assumed))};
    closed_ = true;
    tokens_ = 0;
    return out;
}

double bucket::propose_reserve(common::time_point now) {
    advance(now);
    const double all = tokens_ + reserved_;
    const double kept_free = std::max(free_part * burst(), wanted_lately_);
    wanted_lately_ = 0;
    proposed_ = std::floor(std::max(all - kept_free, 0.0));
    if (proposed_ > reserved_) {
        tokens_ -= proposed_ - reserved_;
        reserved_ = proposed_;
    }
    return proposed_;
}

void bucket::confirm_reserve(common::time_point now) {
    advance(now);
    if (closed_ || proposed_ >= reserved_)
        return;
    tokens_ += reserved_ - proposed_;
    reserved_ = proposed_;
    clip();
}

bool bucket::needs_write(common::time_point now, std::int64_t wanted) {
    advance(now);
    const double needed = std::min(static_cast<double>(wanted), std::floor(burst()));
    if (closed_ || limits_.lapsed || tokens_ >= needed || reserved_ < 1)
        return false;
    wanted_lately_ += needed;
    return true;
}

double bucket::tokens(common::time_point now) {
    advance(now);
    return tokens_;
}

std::int64_t bucket::outstanding(common::time_point now) {
    advance(now);
    return outstanding_;
}

void bucket::advance(common::time_point now) {
    if (now <= at_) // a clock that stands or falls mints nothing
        return;
    if (at_ < assumed_until_)
        accrue_until(std::min(now, assumed_until_));
    // Piecewise up to each lapse: room for more tokens appears only from then on.
    for (auto one = grants_.upper_bound(last_lapsed_); one != grants_.end() && one->second.lapses <= now;
         ++one) {
        accrue_until(one->second.lapses);
        spend(one->second, one->second.open());
        last_lapsed_ = one->first;
    }
    accrue_until(now);
    forget_old();
}

void bucket::accrue_until(common::time_point until) {
    if (until <= at_)
        return;
    if (!closed_)
        tokens_ += rate() * seconds(until - at_);
    clip();
    at_ = until;
    note_room();
}

void bucket::settle(const settlement& one) {
    const auto found = grants_.find(one.grant);
    if (found == grants_.end()) // of another holder, forgotten, or made up
        return;
    grant& mine = found->second;
    const std::int64_t returned = std::clamp(one.returned, mine.returned, mine.returned + mine.open());
    outstanding_ -= returned - mine.returned;
    if (!closed_)
        tokens_ += static_cast<double>(returned - mine.returned);
    mine.returned = returned;
    spend(mine, std::clamp<std::int64_t>(one.spent - mine.spent, 0, mine.open()));
    correct(mine, std::clamp(one.corrected, mine.corrected, mine.spent) - mine.corrected);
    clip();
}

void bucket::spend(grant& mine, std::int64_t amount) {
    if (amount <= 0)
        return;
    if (mine.spent == 0)
        mine.first_spent = events_;
    mine.spent += amount;
    outstanding_ -= amount;
}

void bucket::correct(grant& mine, std::int64_t amount) {
    if (amount <= 0 || closed_)
        return;
    mine.corrected += amount;
    const auto since =
        std::lower_bound(rooms_.begin(), rooms_.end(), mine.first_spent,
                         [](const least_room& entry, std::int64_t event) { return entry.event < event; });
    const double least = since == rooms_.end() ? room() : std::min(room(), since->room - corrections_);
    const double gain = std::clamp(least, 0.0, static_cast<double>(amount));
    tokens_ += gain;
    corrections_ += gain;
}

void bucket::forget_old() {
    while (!grants_.empty() && grants_.begin()->first <= last_lapsed_ &&
           (grants_.size() > grants_kept || grants_.begin()->second.lapses + corrected_within <= at_))
        grants_.erase(grants_.begin());
    // Entries before all grants aren't asked for; of too many the older, lower room stands for both.
    const std::int64_t oldest = grants_.empty() ? events_ : std::numeric_limits<std::int64_t>::min();
    while (!rooms_.empty() && rooms_.front().event < oldest)
        rooms_.pop_front();
    while (rooms_.size() > rooms_kept) {
        rooms_[1].room = rooms_[0].room;
        rooms_.pop_front();
    }
}

void bucket::note_room() {
    const double now = room() + corrections_;
    while (!rooms_.empty() && rooms_.back().room >= now)
        rooms_.pop_back();
    rooms_.push_back({events_++, now});
}

double bucket::room() const {
    // A predecessor that wasn't seen to stop has its grants within the share that is left to it.
    const double others = (1 - limits_.share) * limits_.burst_tokens;
    const double assumed = at_ < assumed_until_ ? std::max(assumed_ - others, 0.0) : 0.0;
    const double set_aside = limits_.lapsed ? 0.0 : reserved_;
    return burst() - tokens_ - set_aside - static_cast<double>(outstanding_) - assumed;
}

void bucket::clip() {
    tokens_ = std::max(tokens_ + std::min(room(), 0.0), 0.0);
}

common::duration bucket::wait_for(double amount) const {
    if (rate() <= 0)
        return never;
    amount = std::min(amount, std::floor(burst())); // a draw ahead may ask for more than can ever be there
    // The same steps as advance() will take, if no router settles before its grant lapses.
    double have = tokens_;
    double most = burst() - static_cast<double>(outstanding_) - (limits_.lapsed ? 0.0 : reserved_);
    common::time_point at = std::max(at_, adopted_ ? at_ : assumed_until_);
    const auto reached = [&] { return at + to_duration(std::max(amount - have, 0.0) / rate()); };
    for (auto one = grants_.upper_bound(last_lapsed_); one != grants_.end(); ++one) {
        if (amount <= most && reached() <= one->second.lapses)
            break;
        have = std::min(have + rate() * seconds(one->second.lapses - at), most);
        at = one->second.lapses;
        most += static_cast<double>(one->second.open());
    }
    return std::chrono::ceil<common::milliseconds>(reached() - at_);
}

} // namespace waxwinglb::core::limits
