/// Time types of the core. Functions take the current time as an argument; the core reads no clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace waxwinglb::core::common {

using clock = std::chrono::steady_clock;                 // monotonic
using time_point = clock::time_point;                    // local to one process, never sent to another
using duration = clock::duration;                        // nanoseconds
using milliseconds = std::chrono::milliseconds;          // unit of every duration that is sent
using unix_time = std::chrono::system_clock::time_point; // only for records that outlive a process

/// Rounds down to whole milliseconds for a message; negative durations become zero.
[[nodiscard]] inline std::int64_t to_wire_ms(duration value) {
    const auto whole = std::chrono::duration_cast<milliseconds>(value).count();
    return whole < 0 ? 0 : whole;
}

} // namespace waxwinglb::core::common
