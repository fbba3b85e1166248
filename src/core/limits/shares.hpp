/// Shares of a shard's rates between its holder and predecessors that may still grant without the store.
///
/// A holder whose lease has expired while it can't reach the store continues with half of its share of every
/// rate and burst. Its successor uses the rest until the predecessor has stopped or its VM is gone, so that
/// the shares never sum to more than one. The list is part of the shard's object; a share is used only after
/// the store has accepted it.
#pragma once

#include "core/common/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::limits {

/// A former holder that is not confirmed to have stopped.
struct predecessor {
    std::string holder;
    std::string vm;
    std::int64_t boot = 0;    // tells restarts of one process apart
    std::int64_t fencing = 0; // under which it held the shard
    double share = 0;         // part of each rate that it may still grant
};

class shares {
public:
    /// Shares of a first holder.
    shares() = default;
    /// From the shard's object; nullopt if malformed.
    static std::optional<shares> decode(const nlohmann::json& value);
    [[nodiscard]] nlohmann::json encode() const;

    /// The successor's list after `last` lost the shard: `last` is added with half of its share, unless it
    /// handed over (`stopped`).
    [[nodiscard]] shares after(predecessor last, bool stopped) const;

    /// Records that this process (or its VM) has stopped granting by `now`. `without_lapsed` drops the entry
    /// once its grants have lapsed.
    void confirm_stopped(const std::string& holder, std::int64_t boot, common::time_point now);

    /// The list without stopped predecessors whose grants have lapsed; nullopt if nothing changes. It must be
    /// stored before it is used.
    [[nodiscard]] std::optional<shares> without_lapsed(common::time_point now) const;

    /// Share of the current holder: all that no predecessor may grant, and half of that once its lease has
    /// expired.
    [[nodiscard]] double share(bool lease_valid) const;

    [[nodiscard]] const std::vector<predecessor>& predecessors() const { return predecessors_; }

private:
    struct stop {
        std::string holder;
        std::int64_t boot = 0;
        common::time_point at{};
    };
    std::vector<predecessor> predecessors_; // not confirmed to have stopped
    std::vector<stop> stops_;               // confirmed to this process; not stored
};

} // namespace waxwinglb::core::limits
