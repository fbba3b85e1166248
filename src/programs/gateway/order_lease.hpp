/// The lease that makes one gateway at a time the order giver.
///
/// A successor waits `lease_term` after the last moment at which its predecessor may have sent an order,
/// because a target must not get interleaved orders from two holders. A gateway that held the lease and
/// restarted on the same VM is the same holder: it doesn't wait if the lease record shows that it gave orders
/// before the restart.
///
/// Each era of the store has a lease of its own. After a restore the former holder holds nothing until it has
/// taken the new era's lease; it may do so at once, and needn't wait for a predecessor if its term hadn't
/// ended. The others let it go first, and then wait as after any holder that they don't know.
#pragma once

#include "core/membership/lease.hpp"
#include "core/membership/store_contact.hpp"
#include "programs/gateway/lease_store.hpp"

#include <functional>

namespace waxwinglb::programs::gateway {

class order_lease {
public:
    order_lease(gateway_context& context, platform::store_client& store, edge::http_client& client,
                std::int64_t boot, std::function<void()> on_lost);
    void attach(peers& others) {
        peers_ = &others;
        leases_.attach(others);
    }
    void step();                      // reads, takes or renews the lease as due
    void enter_era(std::int64_t era); // the first one, or after a restore of the store
    void release(); // when the process ends: the successor needn't wait for the term to expire

    [[nodiscard]] bool held() const { return held_; }
    [[nodiscard]] bool
    may_order(core::common::time_point now) const; // held, and no predecessor may still order
    [[nodiscard]] std::int64_t fencing() const { return lease_.fencing(); }
    [[nodiscard]] lease_store& store() { return leases_; } // serves peers' calls

private:
    [[nodiscard]] static core::membership::write_result to_write_result(const platform::store_reply& reply);
    [[nodiscard]] bool may_take(core::common::time_point now) const;
    [[nodiscard]] bool read_due(core::common::time_point now) const;
    [[nodiscard]] core::common::milliseconds read_interval() const;
    void read();
    void record_call(const char* call, platform::store_reply& reply);
    void write(const core::membership::lease_write& write);
    void update_state(core::common::time_point now);
    [[nodiscard]] std::string state_to_write(core::common::time_point now) const;
    [[nodiscard]] bool gave_orders_before() const;

    gateway_context& context_;
    lease_store leases_;
    std::function<void()> on_lost_;
    peers* peers_ = nullptr;
    core::membership::shard_lease lease_;
    core::membership::store_contact contact_; // as seen by lease calls
    bool reading_ = false;
    bool held_ = false;
    std::optional<core::common::store_position> seen_version_;
    std::int64_t era_ = 0;                          // of the lease
    core::common::time_point era_entered_at_{};     // when this process learned of it
    core::common::time_point orders_from_{};        // no orders before; the predecessor may still send some
    core::common::time_point other_holder_until_{}; // another holder may have sent orders until then
    core::common::time_point checked_at_{};         // when a read was last started
    core::common::time_point read_at_{};            // when a read was last answered
};

} // namespace waxwinglb::programs::gateway
