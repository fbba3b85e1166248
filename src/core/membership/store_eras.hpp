/// Follows the era of the platform's store, which rises each time the store is restored from an older copy.
///
/// All answers state the era, so any call may be the first to show a restore. What was written since the copy
/// is lost then, leases included, and revisions of the old era mean nothing in the new one.
#pragma once

#include <cstdint>
#include <optional>

namespace waxwinglb::core::membership {

/// Largest era that is accepted. Fencing numbers hold the era above a 32-bit counter, and the platform's JSON
/// numbers are exact up to 2^53.
constexpr std::int64_t max_store_era = (std::int64_t{1} << 20) - 1;

/// Fencing numbers of an era are greater than this, and so greater than all numbers of earlier eras: they
/// rise across a restore, also for a process that never saw the lost records.
[[nodiscard]] constexpr std::int64_t fencing_floor(std::int64_t era) {
    return era << 32;
}

class store_eras {
public:
    enum class verdict {
        first,    // the first answer that this process got
        current,  // of the newest known era
        risen,    // the store was restored since the last answer
        outdated, // of an earlier era: its content is no longer valid
    };
    /// Takes note of the era that an answer states; 0: it states none.
    verdict observe(std::int64_t era);
    [[nodiscard]] std::int64_t newest() const { return newest_.value_or(0); }

private:
    std::optional<std::int64_t> newest_;
};

} // namespace waxwinglb::core::membership
