/// Reads and writes an object of the order giver in the store, the lease or the decided counts of usage:
/// directly or, while the store does not answer this gateway, through a peer that reaches it. A holder that
/// loses only its own connection to the store keeps the lease and goes on with its work.
#pragma once

#include "platform/store_client.hpp"
#include "programs/gateway/peers.hpp"

namespace waxwinglb::programs::gateway {

/// The object: one for each era of the store.
struct relayed_object {
    const char* kind = platform::lease_kind;
    std::string (*name_of)(std::int64_t era) = platform::lease_name_of;
    const char* peer_path = "/peer/lease"; // where peers relay calls
};

class lease_store {
public:
    using on_reply = std::function<void(platform::store_reply&&)>; // on the event loop

    lease_store(gateway_context& context, platform::store_client& store, edge::http_client& client,
                relayed_object object = {})
        : context_(context), store_(store), client_(client), object_(object) {}
    void attach(peers& others) { peers_ = &others; }

    /// Reads the object of the newest known era; the reply's `at.era` is that of the answer.
    void read(on_reply done);
    /// Writes the object of the era of `if_version`; its revision 0 creates it.
    void write(core::common::store_position if_version, const std::string& value, on_reply done);

    /// Serves a peer's call on the metrics server's thread. Answers when the store has answered.
    void serve(const edge::exchange_ptr& exchange);

private:
    void direct_read(std::int64_t era, platform::store_client::on_reply done);
    void direct_write(core::common::store_position if_version, const std::string& value,
                      platform::store_client::on_reply done);
    void call_through_peer(const std::string& address, edge::client_request request, on_reply done);
    void finish(bool direct, platform::store_reply&& reply, const on_reply& done);
    [[nodiscard]] std::string relay_address() const; // of the peer to call; empty: call the store directly

    gateway_context& context_;
    platform::store_client& store_;
    edge::http_client& client_;
    relayed_object object_;
    peers* peers_ = nullptr;
    core::common::time_point avoid_direct_until_{};
};

} // namespace waxwinglb::programs::gateway
