/// Decides when a gateway reads a newer configuration from a peer, in place of the store.
///
/// Each gateway's own watch normally brings it. If it does not, because the store is late, cut off, or the
/// gateway's link is full, a peer that has the version in force is asked. A configuration takes a large part
/// of a slow link's capacity for a while, so one read is under way at a time, and it may go on as long as it
/// makes progress.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace waxwinglb::core::membership {

class config_reads {
public:
    /// Time that the store has to bring a version after a peer has named it.
    static constexpr common::milliseconds store_head_start{1'000};
    static constexpr common::milliseconds min_retry_delay{100}; // after a failed read, doubles
    static constexpr common::milliseconds max_retry_delay{800};

    /// A peer has `version` in force, which this gateway has not.
    void note_newer(std::int64_t version, common::time_point now);
    /// `version` is in force here.
    void note_in_force(std::int64_t version);
    /// Whether to read from `peer`, which has named a newer version. `store_answers`: the store may bring it.
    [[nodiscard]] bool due(const std::string& peer, bool store_answers, common::time_point now) const;
    void begin(const std::string& peer);
    void end(bool in_force, common::time_point now); // whether the read brought the version

private:
    std::map<std::int64_t, common::time_point> newer_; // versions not in force here: when first named
    std::string peer_;                                 // that is, or was, read from
    bool under_way_ = false;
    int failures_ = 0; // consecutive
    common::time_point retry_at_{};
};

} // namespace waxwinglb::core::membership
