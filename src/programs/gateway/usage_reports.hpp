/// Reports of usage: counts requests by customer and window of true time, tells the totals to the gateways
/// that give orders, and at the holder of the duty decides and reports each window. What is decided is in
/// core/duties. Without the duty `usage_report` nothing is counted, told or stored.
#pragma once

#include "core/duties/usage_decisions.hpp"
#include "platform/store_client.hpp"
#include "programs/gateway/duties.hpp"
#include "programs/gateway/lease_store.hpp"
#include "programs/gateway/peers.hpp"

namespace waxwinglb::programs::gateway {

class usage_reports {
public:
    usage_reports(gateway_context& context, duties& calls, platform::store_client& store,
                  edge::http_client& client, std::int64_t boot);
    void attach(peers& others) {
        peers_ = &others;
        store_.attach(others);
    }
    [[nodiscard]] bool due() const; // by the settings
    void start();
    void enter_era(std::int64_t era);                     // the first one, or after a restore of the store
    [[nodiscard]] lease_store& store() { return store_; } // serves peers' calls

    // Messages to and from peers.
    void add_time_to(wire::peer_status& message) const;
    void add_totals_to(wire::peer_status& message);
    /// Adds them once a second to what the holder of the lease tells all: its successor needs them.
    void add_totals_for_successor(wire::peer_status& message);
    void take(const wire::peer_status& message);

private:
    void tick();
    void step_store(core::common::time_point now);
    void read();
    void write(const core::duties::usage_write& change);
    void handle_read(platform::store_reply&& reply);
    [[nodiscard]] core::duties::usage_sources sources();
    void report(core::common::time_point now);
    void note_clock();
    /// Notes the era of a reply to a call about the object of `era`. False: it is not about this era's
    /// object.
    bool record_call(const char* call, std::int64_t era, platform::store_reply& reply);

    gateway_context& context_;
    duties& calls_;
    lease_store store_;
    peers* peers_ = nullptr;
    std::int64_t boot_;
    core::duties::true_time clock_;
    core::duties::usage_counter counter_;
    core::duties::usage_totals totals_;
    core::duties::usage_decisions decisions_;
    std::int64_t era_ = 0;
    bool reading_ = false;
    core::common::time_point store_not_before_{}; // after a call that the store did not answer
    core::common::time_point told_all_at_{};      // the own totals, as holder of the lease
    std::size_t next_entry_ = 0;                  // of the totals: the first one of the next message
    std::int64_t left_out_ = 0;                   // requests not counted, as last logged
};

} // namespace waxwinglb::programs::gateway
