/// Configuration feed of one steward: its own replica, the updates that it sends to subscribers, and the time
/// until which the replica counts as fresh.
///
/// A replica is fresh while no newer revision can have been accepted more than `store_trust` ago. This is
/// known from the store, from a peer whose own replica is fresh, or from the reports of all acceptors in
/// force if none of them reaches the store. Answers of the store and of peers count from before the question
/// was sent, so a late answer never extends freshness. Acceptors report unasked; a report counts from its
/// receipt and is valid for the shorter `acceptor_trust` instead.
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
constexpr common::milliseconds acceptor_trust{1'000}; // from a report's receipt; leaves 2 s for the link
constexpr std::size_t max_part_bytes = 512U << 10U;   // keys and values in one part of a snapshot

/// Changes (from, to] for a subscriber. `from` 0 replaces its whole state. Parts are numbered from 0.
struct feed_update {
    std::int64_t from = 0;
    std::int64_t to = 0;
    std::vector<config::change> entries;
    int part = 0;
    int parts = 1;
};

/// Status that an acceptor reports about itself.
struct acceptor_report {
    std::int64_t boot = 0;
    std::int64_t accepted_revision = 0; // newest revision that it accepted or may have accepted
    bool store_unreachable = false;
};

enum class head_result {
    current,        // the replica has the head's revision or a newer one
    needs_snapshot, // fetch the parts of the head's base first
    malformed,
};

class config_feed {
public:
    [[nodiscard]] const config::snapshot& state() const { return replica_.state(); }
    [[nodiscard]] std::int64_t revision() const { return replica_.revision(); }
    [[nodiscard]] bool fresh(common::time_point now) const { return now < fresh_until(); }
    [[nodiscard]] common::time_point fresh_until() const;

    // From the store.
    head_result take_head(const config_head& head);
    bool take_snapshot(std::int64_t base, const std::vector<config::change>& entries);
    void confirm_from_store(std::int64_t revision, common::time_point asked_at); // the head's revision

    // From a peer's feed.
    config::apply_result take_update(const feed_update& update); // parts already joined
    void confirm_from_peer(std::int64_t revision, common::duration fresh_for, common::time_point asked_at);
    void update_acceptor(const std::string& name, const acceptor_report& report,
                         common::time_point received_at);

    /// Updates for a subscriber at revision `have`; empty if it is up to date.
    [[nodiscard]] std::vector<feed_update> updates_since(std::int64_t have) const;

private:
    struct acceptor_state {
        acceptor_report report;
        common::time_point received_at;
    };
    [[nodiscard]] common::time_point acceptors_fresh_until() const;
    void append_to_tail(std::int64_t from, const std::vector<config::change>& entries);

    config::replica replica_;
    std::int64_t tail_base_ = 0;          // tail_ holds tail_base_ + 1 ... revision()
    std::vector<config::change> tail_;    // for subscribers that are slightly behind
    std::int64_t confirmed_revision_ = 0; // highest revision reported by the store or a peer
    common::time_point confirmed_until_{};
    std::map<std::string, acceptor_state> acceptors_;
};

} // namespace waxwinglb::core::feed
