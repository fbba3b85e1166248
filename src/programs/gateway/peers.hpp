/// Messages between the gateways: datagrams, several times a second. Which gateway reports to which is
/// decided in core/exchange; the news that they carry are in peer_updates. The order giver also gets details
/// of the models in use and in demand, from every gateway.
#pragma once

#include "core/exchange/exchange.hpp"
#include "edge/codec.hpp"
#include "programs/gateway/peer_updates.hpp"
#include "programs/gateway/prompt_turns.hpp"

#include <ace/SOCK_Dgram.h>

namespace waxwinglb::programs::gateway {

class usage_reports;

/// What else a peer's messages stated.
struct peer_details {
    std::string config_address;         // serves the configuration and lease calls
    std::vector<wire::target_use> uses; // as of `reported_at`
    std::vector<wire::model_demand> demands;
    std::int64_t boot = 0;                   // of its process
    core::common::time_point boot_seen_at{}; // first message of this process of it
    core::common::time_point reported_at{};  // uses and demands; they are only reported to order givers
};

class peers : private ACE_Event_Handler {
public:
    struct dependencies {
        dispatcher& dispatch;
        store_watch& watch;
        std::function<bool()> gives_orders;
    };
    peers(gateway_context& context, dependencies used, peer_updates& updates, std::int64_t boot);
    ~peers() override;
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;
    peers(peers&&) = delete;
    peers& operator=(peers&&) = delete;

    void attach(prompt_turns& turns) { turns_ = &turns; }
    void attach(usage_reports& usage) { usage_ = &usage; }
    bool start(); // false: the address can't be bound
    void change_members(const std::map<std::string, store_watch::member>& members);
    // Schedule a message soon, in addition to the periodic ones:
    void notify_all();            // this gateway's orders changed the models on targets
    void notify_order_giver();    // a request has started to wait
    void notify_urgent_updates(); // if leaving targets, limits of targets or data centres taken out changed
    void announce_leaving();
    void send_to(const std::string& peer, const std::string& frame); // no effect if its address is unknown

    /// Gateways of which one may be chosen as scheduler of a target, all by the same rule.
    [[nodiscard]] std::vector<std::string> coordinators() const;
    [[nodiscard]] bool is_coordinator() const;  // this gateway is one of them
    [[nodiscard]] bool has_order_giver() const; // another gateway gives orders
    /// `holder` is known as order giver and reads the store.
    [[nodiscard]] bool is_active_holder(const std::string& holder) const;
    /// Whether this gateway must watch the store closely. `gives_orders`: it holds the lease.
    [[nodiscard]] bool reads_store_closely(bool gives_orders) const;
    [[nodiscard]] int in_contact() const;                 // other gateways
    [[nodiscard]] double largest_processor_share() const; // of a core, of the gateways in contact; 0: none
    /// Address of a peer that the store answers and that relays lease calls; empty: none in contact.
    [[nodiscard]] std::string reader_address() const;
    /// Details that are new enough to plan by; by gateway's name.
    [[nodiscard]] std::map<std::string, const peer_details*> fresh_details() const;
    /// Gateways that report such details, but those that are about to end.
    [[nodiscard]] std::set<std::string> reporting_details() const;

private:
    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    enum class audience { all_peers, order_givers };
    struct frame_cache; // encodings of one message for different receivers
    void tick();
    void schedule_status(audience to);
    void send_status(audience to);
    void send_to_members(audience to, const peer_updates::target_updates& updates);
    void send_outside(audience to, const peer_updates::target_updates& updates);
    [[nodiscard]] wire::peer_status message_of(const core::exchange::report& report) const;
    [[nodiscard]] core::exchange::local_state local_state() const;
    void add_speeds(wire::peer_status& to); // of targets, if dispatch.learn_speeds is set
    void take_speeds(const wire::peer_status& status);
    void add_demand_details(wire::peer_status& to) const;
    [[nodiscard]] bool details_due(core::common::time_point now) const;
    [[nodiscard]] core::common::milliseconds details_period() const;
    void send(const std::string& address, const std::string& frame);
    void handle(std::string_view datagram);
    void handle(const wire::peer_status& status);
    [[nodiscard]] bool has_just_started(const std::string& peer) const;
    [[nodiscard]] bool sends_registrations_to(const std::string& peer) const;
    void log_lost_peers();

    gateway_context& context_;
    dependencies dependencies_;
    peer_updates& updates_;
    prompt_turns* turns_ = nullptr;
    usage_reports* usage_ = nullptr;
    core::exchange::exchange exchange_;
    ACE_SOCK_Dgram socket_;
    std::map<std::string, std::string> addresses_; // by gateway's name
    std::map<std::string, peer_details> details_;  // by gateway's name
    std::set<std::string> silent_peers_;           // members of the own group
    std::set<std::string> groups_in_contact_;      // while this gateway speaks for its group
    bool status_scheduled_ = false;
    audience scheduled_audience_ = audience::order_givers;
    bool leaving_ = false;
    core::common::time_point status_sent_at_{};
    core::common::time_point details_sent_at_{}; // to order givers of other groups
};

} // namespace waxwinglb::programs::gateway
