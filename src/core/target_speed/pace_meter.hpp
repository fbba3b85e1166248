/// Measures the pace of one stream of events.
#pragma once

#include "core/common/time.hpp"

#include <optional>

namespace waxwinglb::core::target_speed {

/// Measures the pace of one stream: the time for each event, over some events at once, because several events
/// may arrive together.
class pace_meter {
public:
    /// Time for each event since the last result, once there are enough.
    std::optional<common::duration> add(int events, common::time_point now);
    void restart() { events_ = -1; } // the next events don't follow the last ones without a break

private:
    common::time_point since_{};
    int events_ = -1; // since `since_`; -1: not begun
};

} // namespace waxwinglb::core::target_speed
