/// Lease of one control shard, kept with the shard's decisions in one object of the platform's store.
///
/// Every write of a holder is a conditional update of the version it last knew. A holder that was deposed
/// while it was paused therefore fails its next write, whatever its clock says. The holder counts its term
/// from before it sent the write; another process waits a whole term plus a margin, on its own clock, after
/// it last saw the version change. After a write whose answer is lost, reading the object shows whether it
/// took effect.
///
/// A restore of the store from an older copy ends all leases: a record from an earlier era, which its low
/// fencing number shows, has no holder, and the former holder must take the lease again. The others first
/// wait until its term must have ended, since it may not know of the restore.
#pragma once

#include "core/common/store_position.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::membership {

/// Value of object shards/N.
struct lease_record {
    std::string holder;           // steward's process name; empty: free
    std::string address;          // where the holder accepts links; empty: free
    std::int64_t boot = 0;        // writer's boot number
    std::int64_t sequence = 0;    // number of this write, counted by its writer
    std::int64_t fencing = 0;     // fencing number: rises by one at each change of holder
    common::milliseconds term{0}; // validity, from before the write was sent
    std::string state = "{}";     // JSON text: the shard's decisions
};

[[nodiscard]] std::string encode(const lease_record& record);
[[nodiscard]] std::optional<lease_record> decode_lease(std::string_view text); // nullopt: malformed

struct lease_identity {
    std::string holder;    // process name
    std::string address;   // of its links
    std::int64_t boot = 0; // unique for each start of each process
    /// True if at most one process runs under this name and address at any time. A process that starts then
    /// knows that its predecessor has ended, and may take the predecessor's lease without waiting.
    bool reclaims_own_lease = false;
};

struct lease_times {
    common::milliseconds term{3'000};    // validity of one write
    common::milliseconds margin{300};    // added before a take-over, for clocks that run at different rates
    common::milliseconds renewal{1'000}; // interval of renewals if there are no other writes
};

enum class write_result {
    stored,   // took effect; its version is known
    conflict, // refused: the object has another version, perhaps from this writer's own earlier attempt
    not_sent, // certainly without effect
    unknown,  // answer lost: it took effect, did not, or may do so later
};

/// A conditional update that the caller executes. Its result is reported to shard_lease::written.
struct lease_write {
    common::store_position if_version; // revision 0: the object must be absent
    std::int64_t sequence = 0;
    std::string value;
};

class shard_lease {
public:
    shard_lease(lease_identity self, lease_times times) : self_(std::move(self)), times_(times) {}

    /// True while this process may make decisions for the shard.
    [[nodiscard]] bool held(common::time_point now) const {
        return mine_ && !releasing_ && now < held_until_;
    }
    /// True while this process wrote the newest known record and holds the lease by it, even past its term.
    [[nodiscard]] bool mine() const { return mine_; }
    /// True while an earlier start of this process, which has ended, holds the lease.
    [[nodiscard]] bool held_by_previous_start() const;
    [[nodiscard]] std::int64_t fencing() const { return record_.fencing; }
    [[nodiscard]] const lease_record& record() const { return record_; }      // content of version()
    [[nodiscard]] common::store_position version() const { return version_; } // newest; revision 0: absent
    [[nodiscard]] bool known() const { return known_; } // record() is the content of version()

    /// True if record() must be read before anything can be decided.
    [[nodiscard]] bool needs_read() const { return !known_; }
    /// True if no other process can hold the shard: it is free, an earlier start of this process held it, or
    /// the holder's term and margin have passed on this process's clock.
    [[nodiscard]] bool takeable(common::time_point now) const;
    [[nodiscard]] common::duration free_for(common::time_point now) const; // since it became takeable
    [[nodiscard]] bool writing() const { return write_in_flight_; }
    [[nodiscard]] bool releasing() const { return releasing_; }
    [[nodiscard]] bool renewal_due(common::time_point now) const;

    // Each returns the write to execute, or nullopt if it is not allowed now.
    std::optional<lease_write> take(common::time_point now);
    std::optional<lease_write> write(std::string state, common::time_point now); // renewal or decision
    std::optional<lease_write> release(std::string state, common::time_point now);

    // Results and observations from the store.
    void written(std::int64_t sequence, write_result result, common::store_position version,
                 common::time_point now);
    void observe_version(common::store_position version, common::time_point now); // from a list
    void observe_record(common::store_position version, const std::optional<lease_record>& record,
                        common::time_point now);
    /// The store was restored: this process holds nothing until it has taken the lease again.
    void enter_era(std::int64_t era, common::time_point now);
    /// True if this process held the lease until it learned of the current era: no other process did.
    [[nodiscard]] bool held_before_era() const { return held_before_era_; }

private:
    struct pending_write {
        common::store_position if_version;
        common::time_point sent_at;
        lease_record record;
    };
    lease_write send(lease_record record, common::time_point now);
    void advance(common::store_position version, common::time_point now);
    [[nodiscard]] bool may_be_held_in_earlier_era() const;
    [[nodiscard]] bool from_earlier_era() const; // record_ was written before the last restore
    void adopt(const lease_record& record);

    lease_identity self_;
    lease_times times_;
    common::store_position version_;
    bool known_ = false; // record_ is the content of version_
    lease_record record_;
    common::time_point changed_at_{}; // when version_ was first seen here
    bool observed_ = false;           // any version was seen so far
    bool mine_ = false;
    bool held_before_era_ = false; // held when it learned of the current era: nobody else did
    bool releasing_ = false;
    bool write_in_flight_ = false;
    common::time_point held_until_{};
    common::time_point renewed_at_{}; // when the last write known to have taken effect was sent
    std::int64_t last_sequence_ = 0;
    std::vector<pending_write> pending_writes_; // writes that may still take effect or whose answer is lost
};

/// Maximum number of shards that each of the live stewards takes on its own initiative.
[[nodiscard]] int fair_share(int shard_count, int live_stewards);

} // namespace waxwinglb::core::membership
