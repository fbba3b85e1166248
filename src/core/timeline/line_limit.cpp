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
    ++one.left_out;
    return false;
}

std::vector<line_limit::left_out> line_limit::take_left_out(time_point now) {
    std::vector<left_out> out;
    for (auto& [event, one] : windows_)
        if (one.left_out > 0 && one.over(now))
            out.push_back({event, std::exchange(one.left_out, 0)});
    return out;
}

std::vector<line_limit::left_out> line_limit::take_all() {
    return take_left_out(time_point::max());
}

} // namespace waxwinglb::core::timeline
