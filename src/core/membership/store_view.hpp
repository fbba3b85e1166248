/// How old a gateway's knowledge of the platform's store is, by kind of object, and when it must read for
/// itself.
///
/// Few gateways read the store for all (store_readers). What they read reaches the others in messages, which
/// may be lost or late, and the reader itself may be slow, frozen or cut off. So each message states how old
/// the sender's knowledge is, and a gateway whose own is older than a part of the platform's time limit reads
/// the store itself.
#pragma once

#include "core/common/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace waxwinglb::core::membership {

enum class stored_kind : std::uint8_t {
    departures, // of targets
    configuration,
    data_centres, // taken out of service
    count
};
inline constexpr auto stored_kinds = static_cast<std::size_t>(stored_kind::count);
[[nodiscard]] const char* name_of(stored_kind kind);

/// Times within which changes must be in force, by kind.
using view_limits = std::array<common::milliseconds, stored_kinds>;

/// Part of the limit after which a gateway reads the store itself. The rest is for that call, for a second
/// one if it fails, and for the connection to a target that was chosen before.
inline constexpr double own_read_share = 0.6;
/// Time between two calls of a gateway that reads because its knowledge is old.
inline constexpr common::milliseconds own_read_interval{500};

class store_view {
public:
    /// All changes of this kind that were made until `until` are known.
    void confirm(stored_kind kind, common::time_point until);
    /// nullopt: nothing is known of this kind yet.
    [[nodiscard]] std::optional<common::duration> age(stored_kind kind, common::time_point now) const;
    /// Whether to read the store now. If so, the next time is `own_read_interval` later.
    [[nodiscard]] bool take_read_due(stored_kind kind, common::milliseconds limit, common::time_point now);

private:
    struct entry {
        std::optional<common::time_point> known_until;
        common::time_point read_at{}; // by take_read_due
    };
    std::array<entry, stored_kinds> entries_;
};

} // namespace waxwinglb::core::membership
