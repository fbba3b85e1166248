/// Tracks outages of the store and blocks lease take-overs during an outage and a grace period after it.
///
/// While the store is unreachable no holder can renew, so all terms expire although the holders are alive.
/// The grace period lets each holder renew first and continue with its state. A successor would have to wait
/// for the old holder and rebuild that state.
#pragma once

#include "core/common/time.hpp"

#include <optional>

namespace waxwinglb::core::membership {

class store_contact {
public:
    struct limits {
        common::milliseconds shortest_outage{1'000}; // shorter failures let no term expire and don't count
        common::milliseconds grace{1'000};           // time after an outage in which holders renew
    };
    explicit store_contact(limits chosen) : limits_(chosen) {}

    /// True if an expired lease that its holder has not released may be taken over.
    [[nodiscard]] bool may_take_over(common::time_point now) const;

    void answered(common::time_point now); // the store answered a call
    void failed(common::time_point now);   // a call failed, or its answer is lost

private:
    limits limits_;
    std::optional<common::time_point> failing_since_; // start of the current outage, if any
    std::optional<common::time_point> recovered_at_;  // first answer after the latest outage
};

} // namespace waxwinglb::core::membership
