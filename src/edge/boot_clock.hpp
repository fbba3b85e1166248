/// Clock for leases, grants and deadlines: it goes on counting while the machine is suspended.
#pragma once

#include "core/common/time.hpp"

#include <ctime>

namespace waxwinglb::edge {

/// Reads CLOCK_BOOTTIME. The steady clock stands still during a suspension, so a lease holder that judged its
/// term by it would wake up still believing in its lease.
[[nodiscard]] inline core::common::time_point boot_now() {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return core::common::time_point{std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec}};
}

} // namespace waxwinglb::edge
