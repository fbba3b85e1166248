/// Clock for leases, grants and deadlines that keeps counting while the machine is suspended.
#pragma once

#include "core/common/time.hpp"

#include <ctime>

namespace waxwinglb::edge {

/// Reads CLOCK_BOOTTIME. The steady clock stops during a suspension: a lease holder that used it would treat
/// an expired lease as valid after waking up.
[[nodiscard]] inline core::common::time_point boot_now() {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return core::common::time_point{std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec}};
}

} // namespace waxwinglb::edge
