/// Gives the orders to load and unload models, while this gateway holds the lease for that.
///
/// One gateway at a time holds the lease in the platform's store. A successor waits `lease_term` beyond the
/// last moment at which its predecessor may have sent an order, so that no target gets orders of two holders
/// in turn.
#pragma once

#include "core/membership/lease.hpp"
#include "core/placing/target_ledger.hpp"
#include "platform/documents.hpp"
#include "programs/gateway/lease_store.hpp"

namespace waxwinglb::programs::gateway {

class order_giver {
public:
    order_giver(gateway_context& context, platform::store_client& store, edge::http_client& client,
                dispatcher& dispatch, std::int64_t boot);
    void attach(peers& others) {
        peers_ = &others;
        leases_.attach(others);
    }
    [[nodiscard]] lease_store& leases() { return leases_; } // for peers' calls
    void start();
    void release(); // the process ends: a successor need not wait for the term

    [[nodiscard]] bool gives_orders() const { return held_; }
    /// What the targets hold, for the other gateways; empty unless the lease is held.
    [[nodiscard]] std::vector<wire::target_holding> holdings() const;

private:
    struct known_target {
        std::int64_t born = 0;
        core::placing::target_ledger ledger; // known once a report has come
        std::set<std::string> copies_in_memory;
        std::set<std::string> copies_on_disk;
        core::common::time_point asked_at{}; // for a report
        bool asking = false;
    };

    // The lease.
    void tick();
    [[nodiscard]] bool holder_speaks(core::common::time_point now) const; // another one, heard of late
    [[nodiscard]] static core::membership::write_result result_of(const platform::store_reply& reply);
    void read_lease();
    void write_lease(const core::membership::lease_write& write);
    void note_lease(core::common::time_point now);
    [[nodiscard]] bool may_order(core::common::time_point now) const;

    // The targets.
    void follow_directory();
    void ask_for_reports();
    void ask(const std::string& id);
    void take_report(const std::string& id, const edge::client_result& answer,
                     core::common::time_point asked_at);
    void plan_service(const core::fleet::service& service);
    [[nodiscard]] core::placing::planner_input input_for(const core::fleet::service& service) const;
    void add_use(core::placing::target_state& to, const core::fleet::model_wish& wish, int running,
                 core::common::time_point last) const;
    void send(const core::placing::planned_order& order, const core::fleet::service& service);
    void take_answer(const std::string& id, const core::placing::planned_order& order,
                     const edge::client_result& answer);
    void publish(const std::string& id);

    gateway_context& context_;
    edge::http_client& client_;
    dispatcher& dispatch_;
    lease_store leases_;
    peers* peers_ = nullptr;
    core::membership::shard_lease lease_;
    bool reading_ = false;
    bool held_ = false;
    std::int64_t seen_version_ = -1;
    core::common::time_point orders_from_{}; // not before that, for the predecessor's sake
    core::common::time_point other_until_{}; // another holder may have sent orders until then
    core::common::time_point checked_at_{};
    std::map<std::string, known_target> targets_;
};

} // namespace waxwinglb::programs::gateway
