/// Retry budget as a token bucket: each first attempt earns a share of a retry, so that retries can't
/// multiply the load of a failing service. The routers use it; window_budget.hpp is that of the gateways.
#pragma once

#include "core/common/time.hpp"

namespace waxwinglb::core::retries {

/// Budget of one customer at one service.
class token_bucket_budget {
public:
    void count_first_attempt(common::time_point now); // earns a share of a retry
    bool take(common::time_point now);                // true, and counted, if a retry may be made now

private:
    void refill(common::time_point now);

    double tokens_ = initial_tokens;
    common::time_point refilled_{};

    static constexpr double share = 0.1;            // retries earned by each first attempt
    static constexpr double floor_per_second = 0.5; // so that retries are possible at a rarely used service
    static constexpr double initial_tokens = 3;     // retries before the first earned ones
    static constexpr double max_tokens = 10;        // bounds a burst of retries after idle hours
};

} // namespace waxwinglb::core::retries
