#include "core/retries/token_bucket_budget.hpp"

#include <algorithm>

namespace waxwinglb::core::retries {

void token_bucket_budget::refill(common::time_point now) {
    if (refilled_ == common::time_point{})
        refilled_ = now;
    if (now <= refilled_)
        return;
    const std::chrono::duration<double> passed = now - refilled_;
    tokens_ = std::min(max_tokens, tokens_ + floor_per_second * passed.count());
    refilled_ = now;
}

void token_bucket_budget::count_first_attempt(common::time_point now) {
    refill(now);
    tokens_ = std::min(max_tokens, tokens_ + share);
}

bool token_bucket_budget::take(common::time_point now) {
    refill(now);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace waxwinglb::core::retries
