/// The targets that may be used, from the registrations in the platform's store; tolerates the store's
/// outages.
///
/// A registration that disappears while the store works means that its target has left: the target is dropped
/// at once. One that disappears during or right after an outage of the store has only lapsed, since its
/// target could not renew it: the target is kept until `lapse_grace` after the end of the outage and then
/// dropped, unless its registration is back. The grace is shorter if only the order giver has reported the
/// outage and no call of this process failed.
///
/// A store that was restored from an older copy lists registrations as they were some seconds ago. Until a
/// target writes its registration again, what was known before the restore holds.
///
/// Registrations and departures bear their place in the store's history, so the later one holds in whatever
/// order and from whomever they arrive (core/fleet/departures).
///
/// A target also speaks for itself in its answers: that it is leaving, or that it wants no requests from this
/// process for some time. Both hold for the start of the target that said so.
#pragma once

#include "core/fleet/departures.hpp"
#include "core/fleet/model.hpp"

#include <map>
#include <set>

namespace waxwinglb::core::fleet {

constexpr common::milliseconds lapse_grace{2'000}; // the platform's time limit for lapsed entries to return
// Registrations are renewed about every 1.2 s and lapse after three missed renewals, so in a shorter outage
// none lapses.
constexpr common::milliseconds shortest_lapsing_outage{2'000};
// The grace after an outage that only the order giver has seen. That outage may concern it alone; then a
// missing registration means that the target has left, and no request may reach the target later than 2 s
// after that. So this is 2 s less the time to learn of the removal and to reach the target.
constexpr common::milliseconds reported_lapse_grace{1'500};
constexpr common::milliseconds outage_report_delay{1'600};      // from the store's last answer to that report
constexpr common::milliseconds description_term{3'000};         // order giver's data overrides registrations
constexpr common::milliseconds said_leaving_retention{600'000}; // longer than any target takes to leave

/// A time for which a target wants no requests from this process.
struct target_pause {
    common::time_point since{};
    common::time_point until{};
};

/// One target and what this process knows of it.
struct target {
    target_entry entry;
    std::optional<common::time_point> lapsed_until;    // registration missing since an outage; dropped then
    common::time_point cold_until{};                   // serves only a limited request rate until then
    std::optional<common::time_point> gone_at;         // end of a removal at short notice
    std::map<std::string, common::time_point> coming;  // models being loaded -> when they should be ready
    std::int64_t orders = 0;                           // accepted orders, as of `described_at`
    common::time_point described_at{};                 // time of the order giver's last description
    bool departed = false;                             // its start is among the departures
    std::optional<common::time_point> said_leaving_at; // by an answer of the target; holds for this start
    std::optional<target_pause> pause;                 // the latest that the target asked for

    /// True if no more requests may be sent to it.
    [[nodiscard]] bool leaving() const { return entry.draining || departed || said_leaving_at; }
    [[nodiscard]] bool paused(common::time_point now) const { return pause && now < pause->until; }
};

/// One change of a registration, as a watch reports it.
struct target_change {
    std::string id;
    std::optional<target_entry> entry; // nullopt: the registration was removed, or can't be used
    bool unusable = false;             // it can't be used, which doesn't say that its target has left
};

/// Where a complete list of registrations comes from.
enum class list_source {
    store,
    restored_store, // the first list after the store was restored from an older copy
};

/// All registrations as of one place in the store's history.
struct target_list {
    std::vector<target_entry> entries;
    common::store_position at{}; // default: not stated
    list_source source = list_source::store;
};

class directory {
public:
    /// Applies changes in the order in which they were made; one batch may both change and remove a target.
    /// `at`: the store's position after them.
    void apply(const std::vector<target_change>& changes, common::store_position at, common::time_point now);
    /// Applies a complete list. Targets that it lacks are treated like removed ones.
    void replace_all(const target_list& list, common::time_point now);
    void upsert(const target_entry& entry, common::time_point now);
    void remove(const std::string& id, common::store_position at, common::time_point now);
    void forget(const std::string& id); // its registration names no target any more; it may name one again

    // The store's state, as seen by the calls to it.
    void store_failed(); // a call failed or timed out
    void store_answered(common::time_point now);
    /// The order giver, which watches the store closely, reports whether the store answers it. Its first
    /// report of no answer may be an outage that this process hasn't noticed; repetitions have no further
    /// effect.
    void note_order_giver_store_access(bool reads, common::time_point now);

    /// Takes over what a target holds after `orders` accepted orders, as the order giver reports it. That is
    /// newer than the target's registration, which follows seconds later. Ignored if `orders` is lower than
    /// known.
    void describe(const std::string& id, std::int64_t born, std::int64_t orders,
                  const std::map<std::string, std::vector<std::string>>& models,
                  const std::map<std::string, common::time_point>& coming, common::time_point now);
    /// A peer reports that a start of a target is leaving or has left. Holds also for a start that isn't
    /// known yet. Returns true if this is new.
    bool note_departure(const departure& heard, common::time_point now);

    /// A peer reports when a target will be removed at short notice. The earliest time that was named stands.
    /// Returns true if none was known.
    bool note_removal(const target_start& start, common::milliseconds remaining, common::time_point now);
    /// Rises with each start of a target that is found to be removed at short notice.
    [[nodiscard]] std::int64_t removals_noted() const { return removals_noted_; }

    // What a target said in an answer to this process. No effect if another start has taken its place.
    bool note_said_leaving(const target_start& start, common::time_point now); // true: this is new
    void note_pause(const target_start& start, common::milliseconds length, common::time_point now);
    void note_weights(const target_start& start, const std::string& model, std::int64_t version);

    /// A peer reports a target that has started or become cold. Applied only where newer than what is known.
    void merge_from_peer(const target_entry& entry, common::time_point now);
    /// Replaces the list by a peer's, for a process that can't read the store itself. Known models are kept.
    void adopt(const target_list& list, common::time_point now);

    /// Starts of targets that are leaving or have left recently, as read or heard, for the peers.
    [[nodiscard]] std::vector<departure> departures_known(common::time_point now) const {
        return departures_.all(now);
    }
    /// Place in the store's history up to which this process has read the registrations.
    [[nodiscard]] common::store_position read_at() const { return read_at_; }

    /// Drops targets whose grace has ended. Returns their ids.
    std::vector<std::string> expire(common::time_point now);

    [[nodiscard]] const target* find(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, target>& targets() const { return targets_; }
    [[nodiscard]] bool loaded() const { return loaded_; } // a list of targets has been received

private:
    [[nodiscard]] bool in_outage(common::time_point now) const;
    [[nodiscard]] common::milliseconds grace() const; // for lapsed registrations
    /// The entry of a restored store's list, corrected by what is known; nullopt: it must not be used.
    [[nodiscard]] std::optional<target_entry> corrected(const target_entry& entry) const;
    [[nodiscard]] bool is_registered(const target_start& start) const;
    void begin_lapse_grace(common::time_point now);

    void set_gone_at(target& known, common::time_point at);

    std::map<std::string, target> targets_;
    std::int64_t removals_noted_ = 0;
    departures departures_;
    common::store_position read_at_;
    common::store_position era_begun_at_;                     // of the first list of the store's present era
    std::map<target_start, common::time_point> said_leaving_; // -> when it said so; kept while it lapses
    bool loaded_ = false;
    bool in_store_outage_ = false;
    bool outage_reported_only_ = false;      // in the last outage: by the order giver; no own call failed
    bool order_giver_without_store_ = false; // the order giver's last report
    std::optional<common::time_point> answered_at_;  // the store's last answer
    std::optional<common::time_point> outage_since_; // last time at which the store is known to have answered
    std::optional<common::time_point> outage_ended_at_; // end of the last outage
};

} // namespace waxwinglb::core::fleet
