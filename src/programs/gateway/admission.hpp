/// Checks each arriving request (route, customer, deadline, rate) and submits it to the dispatcher. Requests
/// that can't be served are refused here, before they run anywhere.
#pragma once

#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/forwarder.hpp"

#include <functional>
#include <unordered_map>

namespace waxwinglb::programs::gateway {

inline constexpr core::common::milliseconds drain_accept_period{2'200}; // after SIGTERM; refuses later
inline constexpr core::common::milliseconds drain_retry_after{100};     // other gateways serve the retry

class admission {
public:
    /// Calls back with whether all targets are known that were registered before.
    using confirm_targets = std::function<void(std::function<void(bool)>)>;
    admission(gateway_context& context, forwarder& forward, dispatcher& dispatch, confirm_targets confirm)
        : context_(context), forwarder_(forward), dispatcher_(dispatch),
          confirm_targets_(std::move(confirm)) {}

    void handle_request(const std::shared_ptr<caller_session>& session, edge::wire_request&& received);
    void on_request_finished(const caller_request_ptr& request); // answered, refused, cut or abandoned
    void on_caller_disconnected(caller_session& session);
    void on_caller_drained(caller_session& session); // its output buffer is empty
    void end_open_requests();                        // the process ends now
    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
    [[nodiscard]] std::vector<caller_request_ptr> running_at(const std::string& target) const;

private:
    bool find_route(const caller_request_ptr& request);
    bool identify_caller(const caller_request_ptr& request);
    bool read_deadline(const caller_request_ptr& request);
    bool find_model(const caller_request_ptr& request);
    void find_origin(const caller_request_ptr& request);
    void confirm_origin(const caller_request_ptr& request);
    void assume_only_version(const caller_request_ptr& request);
    void refuse_unknown_origin(const caller_request_ptr& request, const char* why);
    [[nodiscard]] core::streams::stated_versions versions_of(const caller_request& request);
    void log_origin(const caller_request_ptr& request, const char* evidence);
    bool charge(const caller_request_ptr& request);
    void reject(const caller_request_ptr& request, int status, const std::string& reason,
                core::common::duration retry_after = {});

    gateway_context& context_;
    forwarder& forwarder_;
    dispatcher& dispatcher_;
    confirm_targets confirm_targets_;
    std::unordered_map<caller_session*, caller_request_ptr> requests_;
};

} // namespace waxwinglb::programs::gateway
