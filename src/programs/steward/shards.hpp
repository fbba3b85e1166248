/// Manages the leases of the control shards: reads, takes, renews and hands over the objects shards/N.
#pragma once

#include "core/membership/lease.hpp"
#include "core/membership/store_contact.hpp"
#include "programs/steward/settings.hpp"
#include "programs/steward/store.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

enum class shard_change_kind {
    acquired, // `state` is the state stored by the previous holder
    lapsed,   // this steward's term expired; no other holder has been seen
    regained, // held again after `lapsed`, without another holder in between
    lost,     // another holder's record was read
    written,  // the newest write of the state took effect
    stored,   // all decisions up to `generation` are in the store
    released, // being handed over: no more decisions
    freed,    // the handover is in the store: others may take the shard
};

struct shard_change {
    int shard = 0;
    shard_change_kind kind = shard_change_kind::lost;
    std::string state;
    std::int64_t generation = 0;
};

// Timing of lease calls.
constexpr core::common::milliseconds lease_list_interval{500};   // one call lists the versions of all shards
constexpr core::common::milliseconds lease_read_interval{1'000}; // content of a shard held by another steward
constexpr core::common::milliseconds first_take_delay{500};      // lets links to other stewards open first
constexpr core::common::milliseconds shortest_outage{1'000};     // shorter failures of list calls don't count
constexpr core::common::milliseconds overdue_after{
    2'000}; // a shard free for so long is taken beyond the share

class shard_manager {
public:
    using state_encoder = std::function<std::string(int shard)>; // returns the JSON to store

    shard_manager(const steward_settings& settings, const core::membership::lease_identity& self,
                  store& store, state_encoder encode_state, state_encoder encode_final_state);

    [[nodiscard]] bool holds(int shard, core::common::time_point now) const;
    [[nodiscard]] int held_count(core::common::time_point now) const;
    [[nodiscard]] const core::membership::shard_lease& lease(int shard) const { return at(shard).lease; }
    [[nodiscard]] int count() const { return static_cast<int>(shards_.size()); }

    /// Call after the state of a shard reported as acquired has been taken over. From then on the state
    /// encoded here is written.
    void mark_adopted(int shard) { at(shard).adopted = true; }

    /// Has a shard that is not held here read at once: another steward announced a new holder.
    void request_read(int shard);

    /// Records a decision and returns its generation. A change of kind `stored` reports this generation or a
    /// later one once the decision is in the store.
    std::int64_t mark_changed(int shard, core::common::time_point now);

    /// Makes the lease calls that are due; `live_stewards` includes this one.
    void tick(int live_stewards, core::common::time_point now);
    void hand_over_all(core::common::time_point now); // planned stop: no shard is taken from now on
    [[nodiscard]] bool all_handed_over() const;
    void take(const store_event& event, core::common::time_point now);

    /// Returns the changes since the last call, in order.
    std::vector<shard_change> take_changes();

private:
    struct shard_entry {
        core::membership::shard_lease lease;
        bool reading = false;
        bool read_requested = false;    // read even if the record is known
        bool was_held = false;          // lease held, as last reported
        bool was_owned = false;         // was_held, or lapsed since then
        std::int64_t known_fencing = 0; // fencing number when it was last held
        bool adopted = false;           // the previous holder's state has been taken over
        std::string release_state;      // final state, also for repeated attempts of a handover
        core::common::time_point read_at{};
        std::int64_t generation = 0;      // of the newest decision
        std::int64_t sent_generation = 0; // of the newest write sent
        std::int64_t stored_generation = 0;
        std::int64_t reported_generation = 0; // last one reported as stored
        explicit shard_entry(core::membership::shard_lease made) : lease(std::move(made)) {}
    };
    [[nodiscard]] const shard_entry& at(int shard) const { return shards_[static_cast<std::size_t>(shard)]; }
    [[nodiscard]] shard_entry& at(int shard) { return shards_[static_cast<std::size_t>(shard)]; }
    void execute(int shard, const core::membership::lease_write& write, core::common::time_point now);
    void tick_shard(int shard, int share, core::common::time_point now);
    void hand_over(int shard, core::common::time_point now);
    void report(int shard, core::common::time_point now);
    void read(int shard, core::common::time_point now);
    void write_state(int shard, core::common::time_point now);

    core::common::milliseconds term_;
    store& store_;
    state_encoder encode_state_;
    state_encoder encode_final_state_; // for a planned handover
    std::vector<shard_entry> shards_;
    std::vector<shard_change> changes_;
    core::common::time_point listed_at_{};
    core::membership::store_contact contact_; // from the results of list calls
    bool listing_ = false;
    bool stopping_ = false;
    core::common::time_point started_at_{}; // first tick
    int last_share_ = 0;
};

[[nodiscard]] std::string shard_key(int shard);

} // namespace waxwinglb::programs::steward
