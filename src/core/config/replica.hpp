/// A process's copy of the configuration: revisions only rise, and trust in it ends by itself.
#pragma once

#include "core/common/time.hpp"
#include "core/config/model.hpp"

#include <string>
#include <vector>

namespace waxwinglb::core::config {

/// One accepted change as it comes over the feed.
struct change {
    std::int64_t revision = 0;
    std::string key;
    std::string value; // JSON; empty deletes
};

enum class apply_result {
    applied,   // the copy now stands at the update's revision
    old,       // lower or equal revision: nothing changed
    gap,       // changes in between are missing: subscribe again from revision()
    malformed, // an entry can't be read: nothing changed
};

class replica {
public:
    /// Applies changes (from, to]; from 0 replaces everything and is taken only if `to` is higher.
    apply_result apply(std::int64_t from, std::int64_t to, const std::vector<change>& changes);

    /// The feed vouches for `revision` for `fresh_for` from `now`; ignored while this copy is behind it.
    void confirm(std::int64_t revision, common::duration fresh_for, common::time_point now);

    /// True while no newer revision can have been accepted more than the feed's bound ago.
    [[nodiscard]] bool fresh(common::time_point now) const { return now < fresh_until_; }

    [[nodiscard]] const snapshot& state() const { return state_; }
    [[nodiscard]] std::int64_t revision() const { return state_.revision; }

private:
    snapshot state_;
    common::time_point fresh_until_{};
};

} // namespace waxwinglb::core::config
