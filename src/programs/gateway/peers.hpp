/// What the gateways tell each other by datagrams, several times a second: who hears whom, their use of
/// targets and customers' rates, and the newest of what the store says, so that a gateway that is cut off
/// from the store is not behind. The gateway that gives orders is told in detail what is used and waited for.
#pragma once

#include "core/membership/announcements.hpp"
#include "edge/codec.hpp"
#include "edge/http_client.hpp"
#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/forwarder.hpp"
#include "programs/gateway/reading_turns.hpp"
#include "programs/gateway/store_watch.hpp"

#include <ace/SOCK_Dgram.h>

namespace waxwinglb::programs::gateway {

constexpr core::common::milliseconds holdings_told_again{1'000}; // receivers believe them for 3 s
constexpr core::common::milliseconds starts_told_again{5'000};   // each gateway's own watch tells them too

/// A peer's newest message and when it came.
struct peer_state {
    wire::peer_status status;
    core::common::time_point heard_at{};

    [[nodiscard]] bool in_contact(core::common::time_point now) const {
        return now - heard_at <= core::limits::contact_limit;
    }
};

class peers : private ACE_Event_Handler {
public:
    struct parts {
        dispatcher& dispatch;
        forwarder& forward;
        store_watch& watch;
        edge::http_client& client;
        std::function<bool()> gives_orders;
        std::function<std::vector<wire::target_holding>()> holdings; // while this gateway gives orders
    };
    peers(gateway_context& context, parts with, std::int64_t boot);
    ~peers() override;
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;
    peers(peers&&) = delete;
    peers& operator=(peers&&) = delete;

    void attach(reading_turns& turns) { turns_ = &turns; }
    bool start(); // false: the address can't be had
    void change_members(const std::map<std::string, std::string>& addresses);
    // Soon, besides the steady rate:
    void tell_everybody();     // this gateway's orders changed what targets hold
    void tell_order_giver();   // a model is waited for that wasn't before
    void tell_of_departures(); // if targets that leave or data centres taken out have changed
    void say_leaving();
    void send_to(const std::string& peer,
                 const std::string& frame); // nothing happens if its address is unknown
    [[nodiscard]] std::vector<std::string> gateways_in_contact() const; // that stay; this one included
    [[nodiscard]] const std::map<std::string, peer_state>& heard() const { return heard_; }

private:
    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    enum class audience { everybody, order_giver };
    struct frames; // one message in the shapes that different peers get
    void tick();
    void tell_soon(audience to);
    void tell(audience to);
    [[nodiscard]] wire::peer_status status() const;
    void add_news(wire::peer_status& to);
    void add_details(wire::peer_status& to) const;
    void send(const std::string& address, const std::string& frame);
    [[nodiscard]] bool gives_orders(const std::string& peer) const;
    void take(const edge::frame& frame);
    void take(const wire::peer_status& status);
    void take_store_news(const wire::peer_status& status);
    [[nodiscard]] bool sends_registrations_to(const std::string& peer) const;
    [[nodiscard]] std::vector<wire::target_registration> registrations() const;
    void adopt_registrations(const wire::peer_status& status);
    void take_holdings(const wire::peer_status& status);
    void fetch_config(const std::string& address);
    void report_silent();

    gateway_context& context_;
    parts parts_;
    reading_turns* turns_ = nullptr;
    std::int64_t boot_;
    std::int64_t sequence_ = 0;
    ACE_SOCK_Dgram socket_;
    std::map<std::string, std::string> addresses_; // by gateway's name
    std::map<std::string, peer_state> heard_;
    std::set<std::string> silent_;
    core::membership::announcement_schedule told_holdings_{holdings_told_again};
    core::membership::announcement_schedule told_starts_{starts_told_again};
    std::uint64_t told_departures_ = 0; // hash
    bool tell_planned_ = false;
    audience planned_to_ = audience::order_giver;
    bool leaving_ = false;
    core::common::time_point told_at_{};
    core::common::time_point fetched_at_{};
};

} // namespace waxwinglb::programs::gateway
