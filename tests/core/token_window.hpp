// Tokens granted over time, against bounds on any window.
#pragma once

#include "core/common/time.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace waxwinglb::tests {

/// When tokens were granted, and how many; in order of time.
using token_grants = std::vector<std::pair<core::common::time_point, double>>;

/// The most tokens granted within any window of that length.
inline double most_in_window(const token_grants& grants, core::common::duration window) {
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, tokens] : grants) {
        sum += tokens;
        for (; grants[first].first <= at - window; ++first)
            sum -= grants[first].second;
        most = std::max(most, sum);
    }
    return most;
}

} // namespace waxwinglb::tests
