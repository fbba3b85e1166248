/// Configuration feed of one steward: its own copy, what it sends to subscribers, and for how long the copy
/// may be trusted.
///
/// A copy is fresh while no newer revision can have been accepted more than `store_trust` ago: the store said
/// so itself, a peer that was fresh said so, or every acceptor in force was heard and none reaches the store.
/// All three count from before the question was asked, so a late answer never lengthens the trust; an
/// acceptor speaks unasked and is trusted for a shorter time instead.
#pragma once

#include "core/common/time.hpp"
#include "core/config/replica.hpp"
#include "core/feed/head.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::feed {

constexpr common::milliseconds store_trust{2'000};    // from before the store was asked
constexpr common::milliseconds acceptor_trust{1'000}; // from receipt; leaves 2 s for a link's delay
constexpr std::size_t max_part_bytes = 512U << 10U;   // keys and values of one part of a snapshot

/// Changes (from, to] for a subscriber; from 0 replaces everything. Parts are numbered from 0.
struct feed_update {
    std::int64_t from = 0;
    std::int64_t to = 0;
    std::vector<config::change> entries;
    int part = 0;
    int parts = 1;
};

/// What an acceptor says of itself.
struct acceptor_report {
    std::int64_t boot = 0;
    std::int64_t accepted_revision = 0; // newest one that it accepted or may have accepted
    bool store_unreachable = false;
};

enum class head_result {
    current,        // the copy stands at the head's revision
    needs_snapshot, // fetch the parts of the head's base first
    malformed,
};

class config_feed {
public:
    [[nodiscard]] const config::snapshot& state() const { return copy_.state(); }
    [[nodiscard]] std::int64_t revision() const { return copy_.revision(); }
    [[nodiscard]] bool fresh(common::time_point now) const { return now < fresh_until(); }
    [[nodiscard]] common::time_point fresh_until() const;

    // From the store.
    head_result take_head(const config_head& head);
    bool take_snapshot(std::int64_t base, const std::vector<config::change>& entries);
    void confirm_from_store(std::int64_t revision, common::time_point asked_at); // the head's revision

    // From a peer's feed.
    config::apply_result take_update(const feed_update& whole); // parts already joined
    void confirm_from_peer(std::int64_t revision, common::duration fresh_for, common::time_point asked_at);
    void update_acceptor(const std::string& name, const acceptor_report& report,
                         common::time_point received_at);

    /// What a subscriber that stands at `have` needs; empty if nothing.
    [[nodiscard]] std::vector<feed_update> updates_since(std::int64_t have) const;

private:
    struct heard_acceptor {
        acceptor_report report;
        common::time_point received_at;
    };
    [[nodiscard]] common::time_point acceptors_until() const;
    void remember(std::int64_t from, const std::vector<config::change>& entries);

    config::replica copy_;
    std::int64_t tail_base_ = 0;        // tail_ holds tail_base_ + 1 ... revision()
    std::vector<config::change> tail_;  // for subscribers that lag a little
    std::int64_t vouched_revision_ = 0; // highest that the store or a peer named
    common::time_point vouched_until_{};
    std::map<std::string, heard_acceptor> acceptors_;
};

} // namespace waxwinglb::core::feed
