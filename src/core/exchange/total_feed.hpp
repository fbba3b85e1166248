/// Follows one total of tokens that several reporters state, each counted from its own start.
///
/// Two speakers report the same sum, so that one of them may fail. Only one of them is followed at a time.
/// For the others it is noted what they stated at the last report of the followed one: from there a successor
/// goes on, so that nothing is counted twice and little is lost.
#pragma once

#include "core/limits/fleet_quota.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace waxwinglb::core::exchange {

class total_feed {
public:
    /// Takes the newest totals of a reporter. `boot`: its process's start. `coverage`: gateways that the
    /// totals are about; a reporter with more is preferred. Returns the tokens to add to what has been
    /// counted; a correction may be negative.
    limits::taken_tokens take(const std::string& reporter, std::int64_t boot,
                              const limits::taken_tokens& totals, int coverage, common::time_point now);
    /// Between two of its reports a reporter turned out to cover fewer gateways.
    void lower_coverage(const std::string& reporter, int coverage);
    [[nodiscard]] const std::string& followed() const { return followed_; } // empty: none yet
    [[nodiscard]] bool fresh(common::time_point now) const; // the followed reporter is in contact

private:
    struct source {
        std::int64_t boot = 0;
        limits::taken_tokens totals;                 // newest
        std::optional<limits::taken_tokens> counted; // up to where they are counted; unset: not known
        int coverage = 0;
        common::time_point at{}; // of its last report
        [[nodiscard]] bool fresh(common::time_point now) const { return now - at <= limits::contact_limit; }
    };
    void follow_best(const std::string& reporter, const source& reported, common::time_point now);

    std::map<std::string, source> sources_;
    std::string followed_;
};

} // namespace waxwinglb::core::exchange
