/// Orders targets to load and unload models while this gateway holds the order giver's lease.
#pragma once

#include "core/load_planning/store_load_limit.hpp"
#include "core/load_planning/target_ledger.hpp"
#include "platform/documents.hpp"
#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/order_lease.hpp"

#include <optional>

namespace waxwinglb::programs::gateway {

/// Bytes that the answers of all targets to reports and orders may take together. A target may send anything.
inline constexpr std::size_t max_answer_memory = 4U << 20U;

class order_giver {
public:
    order_giver(gateway_context& context, platform::store_client& store, edge::http_client& client,
                dispatcher& dispatch, std::int64_t boot);
    void attach(peers& others) {
        peers_ = &others;
        lease_.attach(others);
    }
    [[nodiscard]] order_lease& lease() { return lease_; }
    /// `on_read_closely` is called when this gateway must begin to watch the store closely.
    void start(std::function<void()> on_read_closely);

    [[nodiscard]] bool gives_orders() const { return lease_.held(); }
    [[nodiscard]] bool may_order(core::common::time_point now) const;
    /// Models that each target holds, for the other gateways; empty unless the lease is held.
    [[nodiscard]] std::vector<wire::target_holding> holdings() const;

private:
    struct known_target {
        std::int64_t born = 0;
        core::load_planning::target_ledger ledger; // known after the first report
        std::set<std::string> copies_in_memory;
        std::set<std::string> copies_on_disk;
        core::common::time_point requested_at{}; // last report request
        bool report_pending = false;
        std::string room_for; // model for which the latest order unloads another one
        core::common::time_point room_until{};
    };

    void tick();

    // Targets' state.
    void follow_directory();
    void request_reports();
    void request_report(const std::string& id);
    void handle_report(const std::string& id, const edge::client_result& answer,
                       core::common::time_point requested_at);
    void record_finished_loads(const std::string& id,
                               const std::vector<core::load_planning::finished_load>& loads);
    void plan_if_due();
    void plan_service(const core::fleet::service& service);
    // Input of the planner.
    [[nodiscard]] core::load_planning::planner_input
    planner_input_for(const core::fleet::service& service) const;
    [[nodiscard]] std::optional<core::load_planning::target_state> state_of(const std::string& id,
                                                                            const known_target& known) const;
    void add_own_usage(const std::string& service, core::load_planning::planner_input& to) const;
    void add_peer_usage(const std::string& service, const peer_details& peer,
                        core::load_planning::planner_input& to) const;
    void send(const core::load_planning::planned_order& order, const core::fleet::service& service);
    void handle_order_answer(std::int64_t number, const core::load_planning::planned_order& order,
                             const edge::client_result& answer);
    void publish(const std::string& id);

    gateway_context& context_;
    edge::http_client& client_;
    std::shared_ptr<edge::receive_budget> answer_memory_ =
        std::make_shared<edge::receive_budget>(max_answer_memory);
    dispatcher& dispatcher_;
    order_lease lease_;
    peers* peers_ = nullptr;
    std::function<void()> on_read_closely_;
    core::common::time_point plan_at_{}; // earliest next plan
    std::map<std::string, known_target> targets_;
    std::int64_t last_order_number_ = 0; // never reset: answers to orders of an earlier lease must not match
    core::load_planning::store_load_limit store_load_limit_;
};

} // namespace waxwinglb::programs::gateway
