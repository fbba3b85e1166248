/// Shares of a shard's rates between its holder and predecessors that may still grant without the store.
///
/// A holder whose lease has run out while it can't reach the store goes on with half of its share of every
/// rate and burst. Its successor plans with what is left until the predecessor has stood down or its VM is
/// gone, so that the shares never sum to more than one. The list is part of the shard's object: a share is
/// used only as the store has accepted it.
#pragma once

#include "core/common/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::limits {

/// A former holder that wasn't seen to stop.
struct predecessor {
    std::string holder;
    std::string vm;
    std::int64_t boot = 0;    // tells restarts of one process apart
    std::int64_t fencing = 0; // under which it held the shard
    double share = 0;         // what it may still grant of the rate
};

class shares {
public:
    /// Shares of a first holder.
    shares() = default;
    /// From the shard's object; nullopt if malformed.
    static std::optional<shares> decode(const nlohmann::json& value);
    [[nodiscard]] nlohmann::json encode() const;

    /// The successor's list after `last` lost the shard: `last` is added with half of what it had, unless it
    /// handed over (`stopped`).
    [[nodiscard]] shares after(predecessor last, bool stopped) const;

    /// Notes that this process (or its VM) has stopped granting at `now`. Its grants lapse first: the entry
    /// may be dropped by `without_lapsed` later.
    void confirm_stopped(const std::string& holder, std::int64_t boot, common::time_point now);

    /// The list without predecessors whose grants have lapsed; nullopt if nothing changes. Store it, then use
    /// it.
    [[nodiscard]] std::optional<shares> without_lapsed(common::time_point now) const;

    /// Share of the present holder: all that no predecessor may grant, and half of that once its lease has
    /// run out.
    [[nodiscard]] double share(bool lease_valid) const;

    [[nodiscard]] const std::vector<predecessor>& predecessors() const { return predecessors_; }

private:
    struct stop {
        std::string holder;
        std::int64_t boot = 0;
        common::time_point at{};
    };
    std::vector<predecessor> predecessors_; // unconfirmed ones
    std::vector<stop> stops_;               // seen by this process; not stored
};

} // namespace waxwinglb::core::limits
