/// Decides when a gateway that has just started may rely on what it read from the store.
///
/// A store that was restored from an older copy is some seconds behind until the operator and the targets
/// have written again what was lost. Gateways that were running then still know it: withdrawn keys, data
/// centres taken out, targets that have left. A gateway that starts at that time first listens to one of
/// them. Nobody tells it that the store is behind, but registrations of other gateways
/// state the era in which they started, which shows whether they were running before the restore.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace waxwinglb::core::membership {

class catch_up {
public:
    /// Longest time to wait for a peer. Messages of running gateways arrive within 0.4 s.
    static constexpr common::milliseconds limit{1'000};

    /// The other gateways' registrations were read. `running_since`: the eras in which those processes
    /// started, whenever they registered last; `era`: the store's. Only the first call counts.
    void registrations_read(std::span<const std::int64_t> running_since, std::int64_t era,
                            common::time_point now);
    /// A configuration was read. From then on the wait ends after `limit` even if no registrations can be
    /// read.
    void configuration_read(common::time_point now);
    /// A running gateway has told what it knows, and this gateway knows all of it now.
    void informed_by_peer() { informed_ = true; }
    [[nodiscard]] bool done(common::time_point now) const;

private:
    bool informed_ = false;
    std::optional<common::time_point> until_;        // end of the wait; unset: registrations are not read yet
    std::optional<common::time_point> config_until_; // the same, counted from the first configuration
};

} // namespace waxwinglb::core::membership
