/// Estimates true time from the clocks of all gateways. A gateway's time of day may be set wrong by an hour,
/// or jump and jump back; its boot clock is not affected. Each clock is kept as its offset from the own boot
/// clock, and the median of the offsets holds as true.
#pragma once

#include "core/common/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::duties {

/// Times of day are in milliseconds since the start of 1970.
class true_time {
public:
    /// Takes the own time of day. Returns by how much it was set since the last call, if it was.
    std::optional<common::milliseconds> note_own(common::milliseconds unix_ms, common::time_point now);
    /// Takes the time of day that a peer stated in a message that has just arrived.
    void note_peer(const std::string& name, std::int64_t unix_ms, common::time_point now);
    /// Recomputes the estimate. To be called a few times a second.
    void update(common::time_point now);

    [[nodiscard]] common::milliseconds at(common::time_point moment) const; // true time
    [[nodiscard]] common::milliseconds offset() const { return offset_; } // of true time from the boot clock

private:
    struct peer_clock {
        common::milliseconds offset{0};
        common::time_point heard_at{};
        std::optional<common::time_point> lower_since; // samples have been lower than `offset` since then
        common::milliseconds highest_since{0};         // of those samples
    };
    std::optional<common::milliseconds> own_;
    std::map<std::string, peer_clock> peers_;
    common::milliseconds offset_{0};
    bool estimated_ = false;
};

} // namespace waxwinglb::core::duties
