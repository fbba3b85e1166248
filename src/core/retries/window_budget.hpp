/// Retry budget over a sliding window: in any window, the repeats of one service's requests are at most a
/// share of its first sends plus a fixed number. The gateways use it; token_bucket_budget.hpp is that of the
/// routers.
#pragma once

#include "core/common/time.hpp"

#include <deque>

namespace waxwinglb::core::retries {

struct window_limits {
    double ratio = 0.2; // repeats for each first send
    double slack = 10;  // repeats that this process may send in each window regardless of first sends
    common::milliseconds window{10'000};
};

class window_budget {
public:
    explicit window_budget(window_limits limits) : limits_(limits) {}

    void count_first(common::time_point now) {
        expire(now);
        firsts_.push_back(now);
    }
    /// True, and counted, if another repeat may be sent now.
    bool take(common::time_point now) {
        expire(now);
        const double allowed = limits_.ratio * static_cast<double>(firsts_.size()) + limits_.slack;
        if (static_cast<double>(repeats_.size()) + 1 > allowed)
            return false;
        repeats_.push_back(now);
        return true;
    }
    void change(window_limits limits) { limits_ = limits; }

private:
    void expire(common::time_point now) {
        const auto cutoff = now - limits_.window;
        while (!firsts_.empty() && firsts_.front() <= cutoff)
            firsts_.pop_front();
        while (!repeats_.empty() && repeats_.front() <= cutoff)
            repeats_.pop_front();
    }

    window_limits limits_;
    std::deque<common::time_point> firsts_;
    std::deque<common::time_point> repeats_;
};

} // namespace waxwinglb::core::retries
