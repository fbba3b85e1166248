/// Tells when leases of others may be taken, from what the store answers.
///
/// While the store is out of reach no holder can renew, and all terms end together although every holder
/// lives. Nobody takes another's lease then, nor just after: its holder comes back first and goes on where it
/// was, instead of a successor that must wait for it and learn everything anew.
#pragma once

#include "core/common/time.hpp"

#include <optional>

namespace waxwinglb::core::membership {

class store_contact {
public:
    struct limits {
        common::milliseconds shortest_outage{1'000}; // calls that fail for less end nobody's term
        common::milliseconds grace{1'000};           // after an outage: holders come back meanwhile
    };
    explicit store_contact(limits chosen) : limits_(chosen) {}

    /// True if a lease whose term has ended may be taken from a holder that has not given it up.
    [[nodiscard]] bool may_take_over(common::time_point now) const;

    void answered(common::time_point now); // the store answered a call
    void failed(common::time_point now);   // a call failed, or its answer is lost

private:
    limits limits_;
    std::optional<common::time_point> failing_since_; // nothing was answered since then
    std::optional<common::time_point> back_at_;       // first answer after the newest outage
};

} // namespace waxwinglb::core::membership
