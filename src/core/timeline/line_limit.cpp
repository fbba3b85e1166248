#include "core/timeline/line_limit.hpp"

#include <utility>

namespace waxwinglb::core::timeline {

using common::time_point;

bool line_limit::window::over(time_point now) const {
    return now >= begun + std::chrono::seconds{1};
}

bool line_limit::admit(std::string_view event, time_point now) {
    auto found = windows_.find(event);
    if (found == windows_.end())
        found = windows_.emplace(event, window{now, 0, 0}).first;
    window& one = found->second;
    if (one.over(now)) { // lines left out stay counted until they are told
        one.begun = now;
        one.admitted = 0;
    }
    if (one.admitted < most_) {
        ++one.admitted;
        return true;
    }
    ++one.suppressed;
    return false;
}

std::vector<line_limit::suppressed> line_limit::take_suppressed(time_point now) {
    std::vector<suppressed> out;
    for (auto& [event, one] : windows_)
        if (one.suppressed > 0 && one.over(now))
            out.push_back({event, std::exchange(one.suppressed, 0)});
    return out;
}

std::vector<line_limit::suppressed> line_limit::take_all_suppressed() {
    return take_suppressed(time_point::max());
}

} // namespace waxwinglb::core::timeline
