/// Turns that a target's scheduler has granted and that the load reported by the gateways doesn't count yet.
///
/// A grant is covered by a request of the same gateway for a later turn, which states what it runs, and by a
/// status of it that was received at least `settle_time` after the grant. A grant that nothing covers is
/// dropped after `grant_lifetime`: it was lost, or its gateway has ended.
#pragma once

#include "core/dispatch/urgency.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace waxwinglb::core::dispatch {

constexpr common::milliseconds grant_lifetime{1'000};
constexpr common::milliseconds settle_time{50}; // a grant is used within a round trip of a few milliseconds

/// When each gateway's last status was received.
using report_times = std::unordered_map<std::string, common::time_point>;

class outstanding_grants {
public:
    void add(const std::string& gateway, std::int64_t number, const urgency& need, common::time_point now);
    /// The turn was not used. Returns what it was granted for, if it is known.
    std::optional<urgency> give_back(const std::string& gateway, std::int64_t number);
    /// The gateway's turns before `number` are used, and counted in its load, or lost.
    void close_earlier(const std::string& gateway, std::int64_t number);
    [[nodiscard]] bool contains(const std::string& gateway, std::int64_t number) const;
    /// Drops covered and old grants. Returns the number of old ones.
    int settle(const report_times& reported, common::time_point now);
    void clear() { grants_.clear(); }

    [[nodiscard]] int count() const { return static_cast<int>(grants_.size()); }

private:
    struct grant {
        std::string gateway;
        std::int64_t number = 0;
        common::time_point at{};
        urgency need;
    };
    std::deque<grant> grants_; // oldest first; never more than the target's limit
};

} // namespace waxwinglb::core::dispatch
