/// Keeps the leases of the control shards: reads, takes, renews and hands over shards/N.
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
    acquired, // `state` is what the former holder left
    lapsed,   // the own term ended; nobody was seen to take the shard
    regained, // after lapsed: still nobody had taken it
    lost,     // another holder's record was read
    written,  // the newest write of the state has taken effect
    stored,   // everything decided up to `generation` stands in the store
    released, // handed over as planned: nothing is decided any more
    freed,    // the store has the handover: others may take the shard
};

struct shard_change {
    int shard = 0;
    shard_change_kind kind = shard_change_kind::lost;
    std::string state;
    std::int64_t generation = 0;
};

/// Times of the calls that keep leases.
constexpr core::common::milliseconds lease_list_every{500};   // versions of all shards, one call
constexpr core::common::milliseconds lease_read_every{1'000}; // content of one shard held elsewhere
constexpr core::common::milliseconds first_take_after{
    500}; // after the start: links to other stewards open first
constexpr core::common::milliseconds list_gap{
    1'000}; // lists that fail for longer: the store was out of reach
constexpr core::common::milliseconds overdue_after{2'000}; // a shard free for longer is taken over the share

class shard_keeper {
public:
    using state_of = std::function<std::string(int shard)>; // JSON to store

    shard_keeper(const steward_settings& settings, const core::membership::lease_identity& self, store& store,
                 state_of state, state_of final_state);

    [[nodiscard]] bool holds(int shard, core::common::time_point now) const;
    [[nodiscard]] int held_count(core::common::time_point now) const;
    [[nodiscard]] const core::membership::shard_lease& lease(int shard) const { return at(shard).lease; }
    [[nodiscard]] int count() const { return static_cast<int>(shards_.size()); }

    /// The state of a shard reported as acquired has been taken over; its own state may be written from now
    /// on.
    void opened(int shard) { at(shard).opened = true; }

    /// Another steward says that the shard's holder has changed: read it at once.
    void hint(int shard);

    /// A decision was made; returns its generation, which `stored` will reach once it stands in the store.
    std::int64_t mark_changed(int shard, core::common::time_point now);

    /// Carries out what is due; `live_stewards` includes this one.
    void tick(int live_stewards, core::common::time_point now);
    void hand_over_all(core::common::time_point now); // planned stop: no shard is taken any more
    [[nodiscard]] bool all_handed_over() const;
    void take(const store_event& event, core::common::time_point now);

    /// Changes since the last call, in order.
    std::vector<shard_change> take_changes();

private:
    struct entry {
        core::membership::shard_lease lease;
        bool reading = false;
        bool hinted = false;            // to be read, whatever is known
        bool was_held = false;          // as last reported
        bool was_mine = false;          // was_held, or lapsed since
        std::int64_t known_fencing = 0; // under which it was held
        bool opened = false;            // its state has been taken over from the former holder
        std::string release_state;      // written at a handover, also when that is tried again
        core::common::time_point read_at{};
        std::int64_t generation = 0;      // of the newest decision
        std::int64_t sent_generation = 0; // of the write that is on its way
        std::int64_t stored_generation = 0;
        std::int64_t told_generation = 0; // last one reported as stored
        explicit entry(core::membership::shard_lease made) : lease(std::move(made)) {}
    };
    [[nodiscard]] const entry& at(int shard) const { return shards_[static_cast<std::size_t>(shard)]; }
    [[nodiscard]] entry& at(int shard) { return shards_[static_cast<std::size_t>(shard)]; }
    void carry_out(int shard, const core::membership::lease_write& write, core::common::time_point now);
    void tick_shard(int shard, int share, core::common::time_point now);
    void hand_over(int shard, core::common::time_point now);
    void report(int shard, core::common::time_point now);
    void read(int shard, core::common::time_point now);
    void write_state(int shard, core::common::time_point now);

    core::common::milliseconds term_;
    store& store_;
    state_of state_;
    state_of final_state_; // for a planned handover
    std::vector<entry> shards_;
    std::vector<shard_change> changes_;
    core::common::time_point listed_at_{};
    core::membership::store_contact contact_; // by the lists
    bool listing_ = false;
    bool stopping_ = false;
    core::common::time_point began_{}; // first tick
    int last_share_ = 0;
};

[[nodiscard]] std::string shard_key(int shard);

} // namespace waxwinglb::programs::steward
