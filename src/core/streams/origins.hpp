/// Versions at which callers' streams began.
///
/// What targets of two versions write in one stream doesn't fit together. A caller may take its stream up at
/// any gateway, so gateways that are in contact tell each other where streams began.
#pragma once

#include "core/common/time.hpp"
#include "core/fleet/serving_version.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace waxwinglb::core::streams {

constexpr common::milliseconds origin_retention{60'000}; // longer than callers wait for a stream
constexpr std::size_t max_origins = 50'000;              // the oldest ones are dropped beyond that

/// Hash of the request id of the attempt that brought a stream's first event.
using attempt_key = std::uint64_t;
/// Attempts by the version of their streams.
using attempts_by_version = std::map<fleet::serving_version, std::vector<attempt_key>>;

enum class origin_source {
    own,  // this gateway has sent events of it to the caller
    peer, // another one told it
};

class origins {
public:
    /// The first version that is known of a stream holds, unless the weights change within it: later ones
    /// replace earlier ones.
    void note(attempt_key attempt, const fleet::serving_version& version, origin_source source,
              common::time_point now);
    [[nodiscard]] std::optional<fleet::serving_version> version_of(attempt_key attempt) const;

    /// To tell peers: this gateway's own streams that began or changed since then, `most` at most, the newest
    /// ones.
    [[nodiscard]] attempts_by_version own_since(common::time_point since, std::size_t most) const;
    /// To tell a peer that has just started: all that is known, `most` at most, the newest ones.
    [[nodiscard]] attempts_by_version all(std::size_t most) const;
    void expire(common::time_point now);

private:
    struct entry {
        attempt_key attempt = 0;
        origin_source source = origin_source::own;
        std::uint64_t number = 0; // of the note
        common::time_point at{};
    };
    struct origin {
        fleet::serving_version version;
        std::uint64_t number = 0; // of the latest note
    };
    [[nodiscard]] attempts_by_version newest(std::size_t most, common::time_point since, bool own_only) const;
    [[nodiscard]] const origin* find_current(const entry& of) const; // nullptr: noted again since
    void drop_oldest();

    std::unordered_map<attempt_key, origin> known_;
    std::deque<entry> entries_; // oldest first
    std::uint64_t last_number_ = 0;
};

} // namespace waxwinglb::core::streams
