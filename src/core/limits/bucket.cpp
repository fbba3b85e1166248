#include "core/limits/bucket.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::limits {
namespace {

constexpr int fencing_shift = 32;

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

bucket::bucket(common::time_point taken_over, std::int64_t fencing, bucket_limits limits)
    : limits_(limits), fencing_(fencing), at_(taken_over),
      assumed_until_(taken_over + grant_term + lapse_margin), assumed_(std::numeric_limits<double>::max()) {}

draw_answer bucket::draw(common::time_point now, std::int64_t wanted, std::span<const settlement> settled) {
    advance(now);
    for (const settlement& one : settled)
        settle(one);
    if (wanted <= 0 || closed_)
        return {0, 0, {}, closed_ ? common::duration{grant_term} : common::duration{}};

    const auto there = static_cast<std::int64_t>(std::floor(tokens_));
    draw_answer out;
    out.tokens = std::clamp<std::int64_t>(wanted, 0, there);
    if (out.tokens < wanted)
        out.retry_after = wait_for(static_cast<double>(wanted));
    if (out.tokens == 0)
        return out;
    out.grant = (fencing_ << fencing_shift) + ++issued_;
    out.valid_for = grant_term;
    grants_[out.grant] = {out.tokens, 0, 0, at_ + grant_term + lapse_margin};
    tokens_ -= static_cast<double>(out.tokens);
    outstanding_ += out.tokens;
    return out;
}

void bucket::change_limits(common::time_point now, bucket_limits limits) {
    advance(now);
    limits_ = limits;
    clip();
}

bool bucket::adopt(common::time_point now, const bucket_balance& balance, std::int64_t from_fencing) {
    advance(now);
    if (adopted_ || closed_ || from_fencing >= fencing_ || at_ >= assumed_until_)
        return false;
    adopted_ = true;
    assumed_ = static_cast<double>(std::max<std::int64_t>(balance.outstanding, 0));
    tokens_ = std::max(balance.tokens, 0.0);
    clip();
    return true;
}

bucket_balance bucket::hand_over(common::time_point now) {
    advance(now);
    const auto assumed = at_ < assumed_until_ ? std::min(assumed_, burst()) : 0.0;
    const bucket_balance out{closed_ ? 0.0 : tokens_,
                             outstanding_ + static_cast<std::int64_t>(std::ceil(assumed))};
    closed_ = true;
    tokens_ = 0;
    return out;
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
    // Accrue piecewise up to each lapse: room for tokens appears only from then on.
    const auto accrue_until = [this](common::time_point until) {
        if (until <= at_)
            return;
        if (!closed_)
            tokens_ += rate() * seconds(until - at_);
        clip();
        at_ = until;
    };
    if (at_ < assumed_until_)
        accrue_until(std::min(now, assumed_until_));
    while (!grants_.empty() && grants_.begin()->second.lapses <= now) {
        const auto first = grants_.begin();
        accrue_until(first->second.lapses);
        outstanding_ -= first->second.open();
        grants_.erase(first);
    }
    accrue_until(now);
}

void bucket::settle(const settlement& one) {
    const auto found = grants_.find(one.grant);
    if (found == grants_.end()) // lapsed, of another holder, or made up
        return;
    grant& mine = found->second;
    const std::int64_t before = mine.open();
    // Only what is still outstanding can come back: a part once reported as spent may have accrued anew.
    const std::int64_t returned = std::clamp(one.returned, mine.returned, mine.tokens - mine.spent);
    if (!closed_)
        tokens_ += static_cast<double>(returned - mine.returned);
    mine.returned = returned;
    mine.spent = std::clamp(one.spent, mine.spent, mine.tokens - mine.returned);
    outstanding_ += mine.open() - before;
    if (mine.open() == 0)
        grants_.erase(found);
    clip();
}

void bucket::clip() {
    const double assumed = at_ < assumed_until_ ? assumed_ : 0.0;
    tokens_ = std::clamp(burst() - static_cast<double>(outstanding_) - assumed, 0.0, tokens_);
}

common::duration bucket::wait_for(double amount) const {
    if (rate() <= 0)
        return never;
    amount = std::min(amount, std::floor(burst())); // a draw ahead may ask for more than can ever be there
    common::duration wait =
        std::chrono::ceil<common::milliseconds>(std::chrono::duration<double>((amount - tokens_) / rate()));
    if (at_ < assumed_until_)
        wait += adopted_ ? common::duration{} : assumed_until_ - at_;
    // Outstanding grants may hold the room until they lapse.
    double room = burst() - static_cast<double>(outstanding_);
    for (auto one = grants_.begin(); one != grants_.end() && room < amount; ++one) {
        room += static_cast<double>(one->second.open());
        wait = std::max(wait, one->second.lapses - at_);
    }
    return wait;
}

} // namespace waxwinglb::core::limits
