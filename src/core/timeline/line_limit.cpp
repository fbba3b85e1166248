#include "core/timeline/line_limit.hpp"

#include <utility>

namespace waxwinglb::core::timeline {

using common::time_point;

bool line_limit::window::expired(time_point now) const {
    return now >= started_at + std::chrono::seconds{1};
}

bool line_limit::admit(std::string_view event, time_point now) {
    auto found = windows_.find(event);
    if (found == windows_.end())
        found = windows_.emplace(event, window{now, 0, 0}).first;
    window& current = found->second;
    if (current.expired(now)) { // suppressed lines stay counted until they are reported
        current.started_at = now;
        current.admitted = 0;
    }
    if (current.admitted < max_lines_) {
        ++current.admitted;
        return true;
    }
    ++current.suppressed;
    return false;
}

std::vector<line_limit::suppressed> line_limit::take_suppressed(time_point now) {
    std::vector<suppressed> out;
    for (auto& [event, current] : windows_)
        if (current.suppressed > 0 && current.expired(now))
            out.push_back({event, std::exchange(current.suppressed, 0)});
    return out;
}

std::vector<line_limit::suppressed> line_limit::take_all_suppressed() {
    return take_suppressed(time_point::max());
}

} // namespace waxwinglb::core::timeline
