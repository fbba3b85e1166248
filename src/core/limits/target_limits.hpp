/// Request rates that targets in need have named, as the newest answer that any gateway got from them says.
///
/// A target names its limit in each of its answers for as long as it holds; the first answer without one ends
/// it. Gateways pass on what they know, and the statement made last wins.
#pragma once

#include "core/fleet/directory.hpp"

#include <map>
#include <optional>
#include <vector>

namespace waxwinglb::core::limits {

constexpr common::milliseconds ended_limit_retention{
    30'000};                                             // how long peers are told that a limit has ended
constexpr common::milliseconds limit_retention{600'000}; // without an answer of the target
/// Rate at which a target that names a lower limit is asked. Without any request it couldn't say when it
/// ends.
constexpr double min_target_rate = 0.2;
constexpr std::size_t max_limit_statements = 200; // in one message to a peer

/// What a target said at one time.
struct limit_statement {
    fleet::target_start target;
    std::optional<double> per_second; // nullopt: the limit that it had named has ended
    common::time_point said_at{};
};

class target_limits {
public:
    /// Takes note of what an answer said, or of what a peer reports. Older statements than the one known have
    /// no effect. Returns true if another limit, or none, holds now.
    bool note(const limit_statement& statement);
    /// Requests a second that the target takes from all gateways together; nullopt: it has named no limit.
    [[nodiscard]] std::optional<double> limit_of(const fleet::target_start& target) const;
    /// All that is known, the newest ones first, `max_limit_statements` at most.
    [[nodiscard]] std::vector<limit_statement> statements() const;
    void expire(common::time_point now);

private:
    struct known_limit {
        std::optional<double> per_second;
        common::time_point said_at{};
    };
    std::map<fleet::target_start, known_limit> limits_;
};

} // namespace waxwinglb::core::limits
