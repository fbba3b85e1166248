/// The way of a request from its arrival until it waits for a target: route, customer, deadline, tokens. What
/// can't be served is refused here, before anything has run.
#pragma once

#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/forwarder.hpp"

#include <unordered_map>

namespace waxwinglb::programs::gateway {

inline constexpr core::common::milliseconds drain_accepts{2'200}; // after SIGTERM; then requests are refused
inline constexpr core::common::milliseconds drain_retry_after{100}; // other gateways serve already

class admission {
public:
    admission(gateway_context& context, forwarder& forward, dispatcher& dispatch)
        : context_(context), forwarder_(forward), dispatcher_(dispatch) {}

    void take(const std::shared_ptr<caller_session>& session, edge::wire_request&& request);
    void finished(const call_ptr& one); // it has its final answer, or nobody waits for one
    void caller_left(caller_session& session);
    void caller_drained(caller_session& session); // what was sent to it has left this process
    [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

private:
    bool find_route(const call_ptr& one);
    bool identify_caller(const call_ptr& one);
    bool read_deadline(const call_ptr& one);
    bool charge(const call_ptr& one);
    void reject(const call_ptr& one, int status, const std::string& reason,
                core::common::duration retry_after = {});

    gateway_context& context_;
    forwarder& forwarder_;
    dispatcher& dispatcher_;
    std::unordered_map<caller_session*, call_ptr> calls_;
};

} // namespace waxwinglb::programs::gateway
