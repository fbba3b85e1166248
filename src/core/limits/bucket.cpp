#include "core/limits/bucket.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace waxwinglb::core::limits {
namespace {

constexpr int fencing_shift = 32;
constexpr std::size_t max_headroom_entries = 1024; // per customer
constexpr double min_free_share =
    0.25; // of the burst; stays free for grants between two writes of the shard's object

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

draw_answer bucket::draw(common::time_point now, std::int64_t requested,
                         std::span<const settlement> settled) {
    advance(now);
    for (const settlement& report : settled)
        settle(report);
    if (requested <= 0 || closed_)
        return {0, 0, {}, closed_ ? common::duration{grant_term} : common::duration{}};

    recent_demand_ += static_cast<double>(requested);
    const auto available = static_cast<std::int64_t>(std::floor(tokens_));
    draw_answer out;
    out.tokens = std::clamp<std::int64_t>(requested, 0, available);
    if (out.tokens < requested)
        out.retry_after = wait_for(static_cast<double>(requested));
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
    // The reserve can't exceed the holder's share of the burst; neither can a successor start with more.
    if (!limits_.lapsed)
        reserved_ = std::min(reserved_, burst());
    clip();
    headrooms_.assign(1, {0, corrections_}); // void under new limits: tokens spent before aren't corrected
    record_headroom();
}

bool bucket::adopt(common::time_point now, const bucket_balance& balance, std::int64_t from_fencing) {
    advance(now);
    if (adopted_ || closed_ || from_fencing >= fencing_ || at_ >= assumed_until_)
        return false;
    adopted_ = true;
    assumed_ = static_cast<double>(std::max<std::int64_t>(balance.outstanding, 0));
    tokens_ = std::max(balance.tokens - reserved_, 0.0); // the rest is the reserve in the store
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
    const double kept_free = std::max(min_free_share * burst(), recent_demand_);
    recent_demand_ = 0;
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

bool bucket::needs_write(common::time_point now, std::int64_t requested) {
    advance(now);
    const double needed = std::min(static_cast<double>(requested), std::floor(burst()));
    if (closed_ || limits_.lapsed || tokens_ >= needed || reserved_ < 1)
        return false;
    recent_demand_ += needed;
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
    if (now <= at_) // no tokens accrue if the clock stands still or goes back
        return;
    if (at_ < assumed_until_)
        accrue_until(std::min(now, assumed_until_));
    // In steps from lapse to lapse: a lapsed grant makes headroom only from its lapse on.
    for (auto next = grants_.upper_bound(last_lapsed_); next != grants_.end() && next->second.lapses <= now;
         ++next) {
        accrue_until(next->second.lapses);
        spend(next->second, next->second.open());
        last_lapsed_ = next->first;
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
    record_headroom();
}

void bucket::settle(const settlement& report) {
    const auto found = grants_.find(report.grant);
    if (found == grants_.end()) // of another holder, forgotten, or never issued
        return;
    grant& held = found->second;
    const std::int64_t returned = std::clamp(report.returned, held.returned, held.returned + held.open());
    outstanding_ -= returned - held.returned;
    if (!closed_)
        tokens_ += static_cast<double>(returned - held.returned);
    held.returned = returned;
    spend(held, std::clamp<std::int64_t>(report.spent - held.spent, 0, held.open()));
    correct(held, std::clamp(report.corrected, held.corrected, held.spent) - held.corrected);
    clip();
}

void bucket::spend(grant& held, std::int64_t amount) {
    if (amount <= 0)
        return;
    if (held.spent == 0)
        held.first_spent = events_;
    held.spent += amount;
    outstanding_ -= amount;
}

void bucket::correct(grant& held, std::int64_t amount) {
    if (amount <= 0 || closed_)
        return;
    held.corrected += amount;
    const auto since =
        std::lower_bound(headrooms_.begin(), headrooms_.end(), held.first_spent,
                         [](const headroom_entry& entry, std::int64_t event) { return entry.event < event; });
    const double minimum =
        since == headrooms_.end() ? headroom() : std::min(headroom(), since->headroom - corrections_);
    const double gain = std::clamp(minimum, 0.0, static_cast<double>(amount));
    tokens_ += gain;
    corrections_ += gain;
}

void bucket::forget_old() {
    while (!grants_.empty() && grants_.begin()->first <= last_lapsed_ &&
           (grants_.size() > grants_kept || grants_.begin()->second.lapses + corrected_within <= at_))
        grants_.erase(grants_.begin());
    // Without grants no entry is needed. If there are too many, the two oldest are merged and keep the lower
    // headroom, that of the older one.
    const std::int64_t oldest = grants_.empty() ? events_ : std::numeric_limits<std::int64_t>::min();
    while (!headrooms_.empty() && headrooms_.front().event < oldest)
        headrooms_.pop_front();
    while (headrooms_.size() > max_headroom_entries) {
        headrooms_[1].headroom = headrooms_[0].headroom;
        headrooms_.pop_front();
    }
}

void bucket::record_headroom() {
    const double now = headroom() + corrections_;
    while (!headrooms_.empty() && headrooms_.back().headroom >= now)
        headrooms_.pop_back();
    headrooms_.push_back({events_++, now});
}

double bucket::headroom() const {
    // A predecessor not confirmed to have stopped has its grants within the share that is left to it.
    const double others = (1 - limits_.share) * limits_.burst_tokens;
    const double assumed = at_ < assumed_until_ ? std::max(assumed_ - others, 0.0) : 0.0;
    const double set_aside = limits_.lapsed ? 0.0 : reserved_;
    return burst() - tokens_ - set_aside - static_cast<double>(outstanding_) - assumed;
}

void bucket::clip() {
    tokens_ = std::max(tokens_ + std::min(headroom(), 0.0), 0.0);
}

common::duration bucket::wait_for(double amount) const {
    if (rate() <= 0)
        return never;
    amount = std::min(amount, std::floor(burst())); // a draw may want more than the burst
    // The same steps as in advance(), assuming that no router settles before its grant lapses.
    double have = tokens_;
    double most = burst() - static_cast<double>(outstanding_) - (limits_.lapsed ? 0.0 : reserved_);
    common::time_point at = std::max(at_, adopted_ ? at_ : assumed_until_);
    const auto reached = [&] { return at + to_duration(std::max(amount - have, 0.0) / rate()); };
    for (auto next = grants_.upper_bound(last_lapsed_); next != grants_.end(); ++next) {
        if (amount <= most && reached() <= next->second.lapses)
            break;
        have = std::min(have + rate() * seconds(next->second.lapses - at), most);
        at = next->second.lapses;
        most += static_cast<double>(next->second.open());
    }
    return std::chrono::ceil<common::milliseconds>(reached() - at_);
}

} // namespace waxwinglb::core::limits
