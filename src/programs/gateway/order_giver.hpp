/// Gives the orders to load and unload models, while this gateway holds the lease for that.
#pragma once

#include "core/load_planning/store_load_limit.hpp"
#include "core/load_planning/target_ledger.hpp"
#include "platform/documents.hpp"
#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/order_lease.hpp"

#include <optional>

namespace waxwinglb::programs::gateway {

class order_giver {
public:
    order_giver(gateway_context& context, platform::store_client& store, edge::http_client& client,
                dispatcher& dispatch, std::int64_t boot);
    void attach(peers& others) {
        peers_ = &others;
        lease_.attach(others);
    }
    [[nodiscard]] order_lease& lease() { return lease_; }
    /// on_silence: called when another gateway that gave orders is heard no more.
    void start(std::function<void()> on_silence);

    [[nodiscard]] bool gives_orders() const { return lease_.held(); }
    /// What the targets hold, for the other gateways; empty unless the lease is held.
    [[nodiscard]] std::vector<wire::target_holding> holdings() const;

private:
    struct known_target {
        std::int64_t born = 0;
        core::load_planning::target_ledger ledger; // known once a report has come
        std::set<std::string> copies_in_memory;
        std::set<std::string> copies_on_disk;
        core::common::time_point asked_at{}; // for a report
        bool asking = false;
    };

    void tick();
    [[nodiscard]] bool may_order(core::common::time_point now) const;

    // The targets.
    void follow_directory();
    void ask_for_reports();
    void ask(const std::string& id);
    void take_report(const std::string& id, const edge::client_result& answer,
                     core::common::time_point asked_at);
    void note_finished(const std::string& id, const std::vector<core::load_planning::finished_load>& loads);
    void plan_service(const core::fleet::service& service);
    // What the planner is told.
    [[nodiscard]] core::load_planning::planner_input input_for(const core::fleet::service& service) const;
    [[nodiscard]] std::optional<core::load_planning::target_state> state_of(const std::string& id,
                                                                            const known_target& known) const;
    void add_own(const std::string& service, core::load_planning::planner_input& to) const;
    void add_peer(const std::string& service, const peer_state& peer,
                  core::load_planning::planner_input& to) const;
    void send(const core::load_planning::planned_order& order, const core::fleet::service& service);
    void take_answer(std::int64_t number, const core::load_planning::planned_order& order,
                     const edge::client_result& answer);
    void publish(const std::string& id);

    gateway_context& context_;
    edge::http_client& client_;
    dispatcher& dispatch_;
    order_lease lease_;
    peers* peers_ = nullptr;
    std::function<void()> on_silence_;
    std::map<std::string, known_target> targets_;
    std::int64_t last_order_ = 0; // number; told apart from orders of before the lease was lost
    core::load_planning::store_load_limit pace_;
};

} // namespace waxwinglb::programs::gateway
