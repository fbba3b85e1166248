/// Sends requests to targets and brings their answers back, with what may be repeated repeated within bounds.
#pragma once

#include "core/retries/window_budget.hpp"
#include "programs/gateway/dispatcher.hpp"

namespace waxwinglb::programs::gateway {

class forwarder {
public:
    forwarder(gateway_context& context, std::function<void(const call_ptr&)> on_done)
        : context_(context), on_done_(std::move(on_done)) {}
    void attach(dispatcher& to) { dispatcher_ = &to; }

    void send(const call_ptr& one, const std::string& target);
    void refuse(const call_ptr& one, int status, const std::string& reason,
                core::common::duration retry_after);
    void abandon(const call_ptr& one);        // its caller has left
    void caller_drained(const call_ptr& one); // the caller has read what was written
    void deadline_passed(const call_ptr& one);

    /// Fingerprints of requests whose targets' connections broke while they ran, and how often.
    [[nodiscard]] bool condemned(std::uint64_t fingerprint) const;
    void heard_breaks(std::uint64_t fingerprint, int count);
    [[nodiscard]] const std::map<std::uint64_t, int>& breaks() const { return breaks_; }
    void change_members();

private:
    void on_head(const call_ptr& one, const edge::answer_head& head);
    void on_body(const call_ptr& one, std::string&& piece);
    void on_complete(const call_ptr& one);
    void on_failed(const call_ptr& one, exchange_failure how);

    void relay_events(const call_ptr& one, bool last);
    void answer_whole(const call_ptr& one);
    void rejected(const call_ptr& one, dispatcher::verdict how); // the target has not run it
    void lost(const call_ptr& one, const char* reason);          // it may have run
    bool try_again(const call_ptr& one, const char* reason, bool spend_budget);
    void give_up_at_target(const call_ptr& one, dispatcher::verdict how);
    void fail(const call_ptr& one, int status, const std::string& reason);
    void done(const call_ptr& one, std::string_view event, const std::string& outcome,
              const std::string& reason);
    [[nodiscard]] std::string request_text(const call& one, const std::string& target) const;
    [[nodiscard]] core::retries::window_limits own_part() const;
    core::retries::window_budget& budget(const std::string& service);
    int& breaks_of(std::uint64_t fingerprint);

    gateway_context& context_;
    std::function<void(const call_ptr&)> on_done_;
    dispatcher* dispatcher_ = nullptr;
    std::map<std::string, core::retries::window_budget> budgets_; // by service
    std::map<std::uint64_t, int> breaks_;                         // by fingerprint
};

} // namespace waxwinglb::programs::gateway
