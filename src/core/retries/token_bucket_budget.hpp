/// Bounds retries to a share of first attempts, so that retries can't multiply the load of a failing service.
#pragma once

#include "core/common/time.hpp"

namespace waxwinglb::core::retries {

/// Budget of one customer at one service. Plain data; the owner keeps one for each pair.
class token_bucket_budget {
public:
    void count_first_attempt(common::time_point now); // earns a share of a retry
    bool take(common::time_point now);                // true: one retry may be made now

private:
    void refill(common::time_point now);

    double tokens_ = initial_tokens;
    common::time_point refilled_{};

    static constexpr double share = 0.1;            // retries earned by each first attempt
    static constexpr double floor_per_second = 0.5; // lets a rarely used service retry at all
    static constexpr double initial_tokens = 3;     // retries that a new pair may make
    static constexpr double max_tokens = 10;        // bounds a burst of retries after quiet hours
};

} // namespace waxwinglb::core::retries
