/// The targets that may be used, from the registrations in the platform's store, through its outages.
///
/// A registration that disappears in calm means that its target has left: it is dropped at once. One that
/// disappears during or right after an outage of the store has merely lapsed, since its target could not
/// renew it: it is kept until `lapse_grace` after the store's return and then dropped, unless it came back;
/// for less long if this process knows of the outage by hearsay alone.
#pragma once

#include "core/fleet/model.hpp"

#include <map>
#include <set>

namespace waxwinglb::core::fleet {

constexpr common::milliseconds lapse_grace{2'000}; // the platform's bound for the return of lapsed entries
// Registrations are renewed about every 1.2 s and lapse after three missed renewals: a shorter outage lapses
// none.
constexpr common::milliseconds shortest_lapsing_outage{2'000};
// An outage that only the order giver has seen may concern it alone: then a registration that is gone has
// left, and nothing may reach its target 2 s later. Less what it takes to learn of that and to reach it.
constexpr common::milliseconds doubted_lapse_grace{1'500};
constexpr common::milliseconds doubt_delay{1'600};  // from the store's last answer to the order giver's word
constexpr common::milliseconds left_memory{30'000}; // peers are told so long that a target has left
constexpr common::milliseconds description_term{3'000}; // the order giver's word goes before a registration's

/// One usable or known target and what this process believes of it.
struct target {
    target_entry entry;
    std::optional<common::time_point> lapsed_until;   // registration gone in an outage; dropped at that time
    common::time_point cold_until{};                  // bears only a limited rate until then
    std::optional<common::time_point> gone_at;        // removal at short notice
    std::map<std::string, common::time_point> coming; // models being loaded and when they are expected
    std::int64_t orders = 0;                          // that it had accepted when `described_at` was
    common::time_point described_at{};                // the order giver's newest word on its models
    bool leaving_by_peer = false; // by a peer; never told on, ends with a newer registration

    /// Nothing more is sent to it.
    [[nodiscard]] bool leaving() const { return entry.draining || leaving_by_peer; }
};

/// One change of a registration, as a watch reports it.
struct target_change {
    std::string id;
    std::optional<target_entry> entry; // nothing: the registration was removed
};

class directory {
public:
    /// Changes in the order in which they were made: a target may change and be removed within one batch.
    void apply(const std::vector<target_change>& changes, common::time_point now);
    /// A complete list. Targets that it lacks are treated like removed ones.
    void replace_all(const std::vector<target_entry>& entries, common::time_point now);
    void upsert(const target_entry& entry, common::time_point now);
    void remove(const std::string& id, common::time_point now);

    // What the store's calls show of it.
    void store_failed(); // a call failed or stayed without an answer
    void store_answered(common::time_point now);
    /// The order giver, which watches closely, says whether the store answers it. If it first says no, that
    /// may be an outage which this process hasn't noticed; its further words of the same tell nothing new.
    void note_order_giver_store_access(bool reads, common::time_point now);

    /// What a target holds after `orders` accepted orders, as the giver of its orders knows: newer than its
    /// registration, which follows seconds later. Ignored if fewer orders than known.
    void describe(const std::string& id, std::int64_t born, std::int64_t orders,
                  const std::map<std::string, std::vector<std::string>>& models,
                  const std::map<std::string, common::time_point>& coming, common::time_point now);
    /// A peer's word that a target is leaving or has left: nothing more is sent to this start of it.
    void mark_leaving(const std::string& id, std::int64_t born);
    /// A peer's word of a target that started or became cold: taken over where it is newer than what is
    /// known.
    void merge_from_peer(const target_entry& entry, common::time_point now);
    /// A peer's registrations, for a process that can't read the store itself; models are kept as known.
    void adopt(const std::vector<target_entry>& entries, common::time_point now);

    /// Starts that are leaving or have left not long ago, for the peers.
    struct leaving {
        std::string id;
        std::int64_t born = 0;
    };
    [[nodiscard]] std::vector<leaving> leaving_targets() const;

    /// Drops what has lapsed. Returns the ids dropped.
    std::vector<std::string> expire(common::time_point now);

    [[nodiscard]] const target* find(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, target>& targets() const { return targets_; }
    [[nodiscard]] bool loaded() const { return loaded_; } // a list has been taken in

private:
    [[nodiscard]] bool in_outage(common::time_point now) const;
    [[nodiscard]] common::milliseconds grace() const; // for what has lapsed

    std::map<std::string, target> targets_;
    std::map<std::pair<std::string, std::int64_t>, common::time_point> left_; // (id, born) -> when it left
    bool loaded_ = false;
    bool store_away_ = false;
    bool only_doubted_ = false; // the newest outage is the order giver's word; no call of this process failed
    bool order_giver_lacks_ = false;                // its newest word
    std::optional<common::time_point> answered_at_; // the store's newest answer
    std::optional<common::time_point> away_since_;  // the store answered until then, as far as known
    std::optional<common::time_point> returned_at_; // end of the newest outage
};

} // namespace waxwinglb::core::fleet
