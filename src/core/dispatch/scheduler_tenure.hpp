/// Whether this gateway may grant places of a target as its scheduler: it must be the scheduler of the
/// target, and must know what its predecessor granted.
///
/// A gateway that has just become a target's scheduler grants nothing until every gateway in contact has
/// reported its load since, for `takeover_limit` at most; one that has just started, or stood still, for
/// `takeover_limit`. Meanwhile the gateways send without turns, as to a scheduler that doesn't answer.
#pragma once

#include "core/dispatch/outstanding_grants.hpp"

#include <deque>
#include <string>
#include <vector>

namespace waxwinglb::core::dispatch {

constexpr common::milliseconds takeover_limit{1'000};

class scheduler_tenure {
public:
    explicit scheduler_tenure(std::string self) : self_(std::move(self)) {}

    /// `gateways`: those of which one may be chosen as scheduler, now in contact.
    void update(std::vector<std::string> gateways, common::time_point now);
    void interrupted(common::time_point now) { began_at_ = now; } // the process has started, or stood still
    [[nodiscard]] bool may_grant(const std::string& target, const report_times& reported,
                                 common::time_point now) const;

private:
    struct former_list {
        std::vector<std::string> gateways;
        common::time_point replaced_at{};
    };
    [[nodiscard]] bool all_reported_since(common::time_point since, const report_times& reported) const;

    std::string self_;
    std::vector<std::string> gateways_;
    std::deque<former_list> former_; // replaced within takeover_limit
    common::time_point began_at_{};
};

} // namespace waxwinglb::core::dispatch
