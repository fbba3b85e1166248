/// Software versions at which callers' streams began, and the versions that targets of a service have.
///
/// What targets of two versions write in one stream doesn't fit together, and targets don't check it. A
/// caller may take its stream up at any gateway, so gateways that are in contact tell each other where
/// streams began.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwinglb::core::streams {

constexpr common::milliseconds origin_retention{60'000}; // longer than callers wait for a stream
constexpr std::size_t max_origins = 50'000;              // the oldest ones are dropped beyond that

/// Hash of the request id of the attempt that brought a stream's first event.
using attempt_key = std::uint64_t;
/// Attempts by the software version at which their streams began.
using attempts_by_version = std::map<std::string, std::vector<attempt_key>>;

enum class origin_source {
    own,  // this gateway has sent the first event to the caller
    peer, // another one told it
};

class origins {
public:
    void note(attempt_key attempt, const std::string& version, origin_source source, common::time_point now);
    [[nodiscard]] std::optional<std::string> version_of(attempt_key attempt) const;

    /// A target of the service has this version now.
    void note_target(const std::string& service, const std::string& version, common::time_point now);
    /// Versions that targets of the service had within the retention.
    [[nodiscard]] std::set<std::string> versions_of(const std::string& service, common::time_point now) const;

    /// To tell peers: this gateway's own streams that began since then, `most` at most, the newest ones.
    [[nodiscard]] attempts_by_version own_since(common::time_point since, std::size_t most) const;
    /// To tell a peer that has just started: all that is known, `most` at most, the newest ones.
    [[nodiscard]] attempts_by_version all(std::size_t most) const;
    void expire(common::time_point now);

private:
    struct entry {
        attempt_key attempt = 0;
        origin_source source = origin_source::own;
        common::time_point at{};
    };
    [[nodiscard]] attempts_by_version newest(std::size_t most, common::time_point since, bool own_only) const;

    std::unordered_map<attempt_key, std::string> versions_;
    std::deque<entry> entries_; // oldest first
    std::map<std::pair<std::string, std::string>, common::time_point>
        targets_; // (service, version) -> seen at
};

} // namespace waxwinglb::core::streams
