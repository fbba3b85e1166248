/// Duties: calls to the platform that only one gateway at a time may make. The holder of the leader's lease
/// makes them, with the lease's fencing token. Without the section `duties` of the settings nothing here
/// sends, stores or counts anything.
#pragma once

#include "core/duties/fenced_calls.hpp"
#include "edge/http_client.hpp"
#include "programs/gateway/context.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace waxwinglb::programs::gateway {

class order_lease;

class duties {
public:
    /// Called on the event loop when a call was accepted or refused. Not called if a later call of its
    /// subject replaces it, or if the lease ends first.
    using on_over = std::function<void(core::duties::call_answer)>;

    duties(gateway_context& context, edge::http_client& client, order_lease& lease);

    /// The fencing token of the calls, while this gateway may make them; it changes with each new holder.
    /// nullopt: it may not, or duties are not configured.
    [[nodiscard]] std::optional<std::int64_t> token() const { return calls_.token(); }

    /// Since when this gateway holds the lease, without or with the right to call; nullopt: it does not.
    [[nodiscard]] std::optional<core::common::time_point> lease_held_since() const { return held_since_; }

    /// Sends a call: POST `path` with the JSON text `body`, repeated unchanged until it gets a usable answer.
    /// A later call of the same subject replaces an earlier one. All calls are dropped when this gateway's
    /// term ends; the next holder has to decide anew what is due. Returns false, without effect, without a
    /// token().
    bool enqueue(const std::string& subject, const std::string& path, const std::string& body,
                 on_over done = {});

    /// True while a call of the subject waits or is in flight.
    [[nodiscard]] bool pending(const std::string& subject) const { return calls_.pending(subject); }

    void start();

private:
    void tick();
    void update_token();
    void send_due();
    void handle_answer(const core::duties::fenced_call& call, const edge::client_result& answer);

    gateway_context& context_;
    edge::http_client& client_;
    order_lease& lease_;
    core::duties::fenced_calls calls_;
    std::optional<core::common::time_point> held_since_;
    std::map<std::int64_t, edge::client_call> in_flight_; // by the attempt's number
    std::map<std::string, on_over> callbacks_;            // by subject
};

} // namespace waxwinglb::programs::gateway
