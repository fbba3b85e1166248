/// The lease that makes one gateway at a time the giver of orders, and who holds it.
///
/// A successor waits `lease_term` beyond the last moment at which its predecessor may have sent an order, so
/// that no target gets orders of two holders in turn. A gateway that held it, died and started again on the
/// same VM is the same holder and waits for nobody, if its record shows that it gave orders already.
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
    void step();    // reads, takes or renews what is due
    void release(); // the process ends: a successor need not wait for the term

    [[nodiscard]] bool held() const { return held_; }
    [[nodiscard]] bool
    may_order(core::common::time_point now) const; // held, and no predecessor may order any more
    [[nodiscard]] bool holder_speaks(core::common::time_point now) const; // another one, heard of late
    [[nodiscard]] std::int64_t fencing() const { return lease_.fencing(); }
    [[nodiscard]] lease_store& store() { return leases_; } // for peers' calls

private:
    [[nodiscard]] static core::membership::write_result result_of(const platform::store_reply& reply);
    [[nodiscard]] bool may_take(core::common::time_point now) const;
    void read();
    void note_call(const char* call, const platform::store_reply& reply);
    void write(const core::membership::lease_write& write);
    void note(core::common::time_point now);
    [[nodiscard]] std::string state_to_write(core::common::time_point now) const;
    [[nodiscard]] bool gave_orders_before() const;

    gateway_context& context_;
    lease_store leases_;
    std::function<void()> on_lost_;
    peers* peers_ = nullptr;
    core::membership::shard_lease lease_;
    core::membership::store_contact contact_; // by the calls for the lease
    bool reading_ = false;
    bool held_ = false;
    std::int64_t seen_version_ = -1;
    core::common::time_point orders_from_{}; // not before that, for the predecessor's sake
    core::common::time_point other_until_{}; // another holder may have sent orders until then
    core::common::time_point checked_at_{};  // when it was last asked for
    core::common::time_point read_at_{};     // when that was last answered
};

} // namespace waxwinglb::programs::gateway
