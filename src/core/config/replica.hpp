/// A process's copy of the configuration. Its revision only rises, and its freshness expires unless
/// confirmed.
#pragma once

#include "core/common/time.hpp"
#include "core/config/model.hpp"

#include <string>
#include <vector>

namespace waxwinglb::core::config {

/// One accepted change as sent on the feed.
struct change {
    std::int64_t revision = 0;
    std::string key;
    std::string value; // JSON; empty deletes
};

enum class apply_result {
    applied,   // the replica now has the update's revision
    old,       // the update's revision is not newer; nothing changed
    gap,       // changes in between are missing; subscribe again from revision()
    malformed, // an entry can't be decoded; nothing changed
};

class replica {
public:
    /// Applies the changes (from, to]. `from` 0 replaces the whole state. Returns `old` unless `to` is above
    /// revision().
    apply_result apply(std::int64_t from, std::int64_t to, const std::vector<change>& changes);

    /// Extends freshness to `now` + `fresh_for`, since the feed confirmed that `revision` is the newest.
    /// Ignored if this replica is behind `revision`.
    void confirm(std::int64_t revision, common::duration fresh_for, common::time_point now);

    /// True while no newer revision can have been accepted longer ago than the feed's bound.
    [[nodiscard]] bool fresh(common::time_point now) const { return now < fresh_until_; }

    [[nodiscard]] const snapshot& state() const { return state_; }
    [[nodiscard]] std::int64_t revision() const { return state_.revision; }

private:
    snapshot state_;
    common::time_point fresh_until_{};
};

} // namespace waxwinglb::core::config
