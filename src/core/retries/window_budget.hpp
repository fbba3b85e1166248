/// Bounds the repeats of one service's requests in any window to a share of its first sends plus a slack.
#pragma once

#include "core/common/time.hpp"

#include <deque>

namespace waxwinglb::core::retries {

struct window_limits {
    double ratio = 0.2; // repeats for each first send
    double slack = 10;  // repeats that are free in each window, of this process
    common::milliseconds window{10'000};
};

class window_budget {
public:
    explicit window_budget(window_limits limits) : limits_(limits) {}

    void count_first(common::time_point now) {
        forget(now);
        firsts_.push_back(now);
    }
    /// True, and counted, if one more repeat keeps the bound.
    bool take(common::time_point now) {
        forget(now);
        const double allowed = limits_.ratio * static_cast<double>(firsts_.size()) + limits_.slack;
        if (static_cast<double>(repeats_.size()) + 1 > allowed)
            return false;
        repeats_.push_back(now);
        return true;
    }
    void change(window_limits limits) { limits_ = limits; }

private:
    void forget(common::time_point now) {
        const auto before = now - limits_.window;
        while (!firsts_.empty() && firsts_.front() <= before)
            firsts_.pop_front();
        while (!repeats_.empty() && repeats_.front() <= before)
            repeats_.pop_front();
    }

    window_limits limits_;
    std::deque<common::time_point> firsts_;
    std::deque<common::time_point> repeats_;
};

} // namespace waxwinglb::core::retries
