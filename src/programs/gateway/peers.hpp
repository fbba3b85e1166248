/// Status messages between the gateways: datagrams, several times a second. They carry which peers the sender
/// is in contact with, its use of targets and customers' rates, and the newest store state, which keeps a
/// gateway without connection to the store up to date. The order giver also gets details of the models in use
/// and in demand.
#pragma once

#include "core/membership/announcements.hpp"
#include "edge/codec.hpp"
#include "edge/http_client.hpp"
#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/forwarder.hpp"
#include "programs/gateway/prompt_turns.hpp"
#include "programs/gateway/store_watch.hpp"

#include <ace/SOCK_Dgram.h>

namespace waxwinglb::programs::gateway {

constexpr core::common::milliseconds holdings_resend_interval{1'000}; // receivers use them for 3 s
constexpr core::common::milliseconds starts_resend_interval{5'000}; // each gateway's own watch sees them too

/// A peer's newest message and when it arrived.
struct peer_state {
    wire::peer_status status;
    core::common::time_point received_at{};

    bool hears_us = false; // it has received a message of this gateway lately

    [[nodiscard]] bool in_contact(core::common::time_point now) const {
        return now - received_at <= core::limits::contact_limit;
    }
};

class peers : private ACE_Event_Handler {
public:
    struct dependencies {
        dispatcher& dispatch;
        forwarder& forward;
        store_watch& watch;
        edge::http_client& client;
        std::function<bool()> gives_orders;
        std::function<std::vector<wire::target_holding>()> holdings; // empty unless this gateway gives orders
    };
    peers(gateway_context& context, dependencies used, std::int64_t boot);
    ~peers() override;
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;
    peers(peers&&) = delete;
    peers& operator=(peers&&) = delete;

    void attach(prompt_turns& turns) { turns_ = &turns; }
    bool start(); // false: the address can't be bound
    void change_members(const std::map<std::string, std::string>& addresses);
    // Schedule a message soon, in addition to the periodic ones:
    void notify_all();         // this gateway's orders changed the models on targets
    void notify_order_giver(); // a request has started to wait
    void notify_departures();  // if the leaving targets or the data centres taken out changed
    void announce_leaving();
    void send_to(const std::string& peer, const std::string& frame);    // no effect if its address is unknown
    [[nodiscard]] std::vector<std::string> gateways_in_contact() const; // not leaving; includes this one
    [[nodiscard]] bool hears_order_giver() const; // another gateway in contact gives orders
    /// Whether this gateway must watch the store closely. `gives_orders`: it holds the lease.
    [[nodiscard]] bool reads_store_closely(bool gives_orders) const;
    [[nodiscard]] const std::map<std::string, peer_state>& known_peers() const { return known_peers_; }

private:
    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    enum class audience { all_peers, order_giver };
    struct frame_cache; // encodings of one message for different receivers
    void tick();
    void schedule_status(audience to);
    void send_status(audience to);
    [[nodiscard]] wire::peer_status status() const;
    void add_target_updates(wire::peer_status& to);
    void add_demand_details(wire::peer_status& to) const;
    void send(const std::string& address, const std::string& frame);
    [[nodiscard]] bool gives_orders(const std::string& peer) const;
    void handle(const edge::frame& frame);
    void handle(const wire::peer_status& status);
    void apply_store_state(const wire::peer_status& status);
    void apply_centres(const wire::peer_status& status);
    [[nodiscard]] bool knows_all_of(const wire::peer_status& status) const; // configuration, data centres out
    [[nodiscard]] bool sends_registrations_to(const std::string& peer) const;
    [[nodiscard]] std::vector<wire::target_registration> registrations() const;
    void adopt_registrations(const wire::peer_status& status);
    void apply_holdings(const wire::peer_status& status);
    void fetch_config(const std::string& address);
    void log_silent_peers();

    gateway_context& context_;
    dependencies dependencies_;
    prompt_turns* turns_ = nullptr;
    std::int64_t boot_;
    std::int64_t sequence_ = 0;
    ACE_SOCK_Dgram socket_;
    std::map<std::string, std::string> addresses_; // by gateway's name
    std::map<std::string, peer_state> known_peers_;
    std::set<std::string> silent_peers_;
    core::membership::announcement_schedule holdings_updates_{holdings_resend_interval};
    core::membership::announcement_schedule starts_updates_{starts_resend_interval};
    std::uint64_t announced_departures_ = 0; // hash of what was last announced
    bool status_scheduled_ = false;
    audience scheduled_audience_ = audience::order_giver;
    bool leaving_ = false;
    core::common::time_point status_sent_at_{};
    core::common::time_point config_fetched_at_{};
};

} // namespace waxwinglb::programs::gateway
