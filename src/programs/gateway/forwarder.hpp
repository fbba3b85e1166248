/// Sends requests to targets and returns their answers to the callers. Retries what may be repeated, within
/// the retry budget.
#pragma once

#include "core/quarantine/suspect_parts.hpp"
#include "core/retries/window_budget.hpp"
#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/target_probe.hpp"

namespace waxwinglb::programs::gateway {

class forwarder {
public:
    forwarder(gateway_context& context, edge::http_client& client,
              std::function<void(const caller_request_ptr&)> on_finished)
        : context_(context), probe_(context, client), on_finished_(std::move(on_finished)) {}
    void attach(dispatcher& target_dispatcher) { dispatcher_ = &target_dispatcher; }

    void send(const caller_request_ptr& request, const std::string& target);
    void refuse(const caller_request_ptr& request, int status, const std::string& reason,
                core::common::duration retry_after);
    void refuse_over_rate(const caller_request_ptr& request, core::common::duration retry_after);
    void abandon(const caller_request_ptr& request);           // the caller disconnected
    void on_caller_drained(const caller_request_ptr& request); // the caller's output buffer is empty
    /// The process ends now: the request gets its final answer, or its stream is cut.
    void on_stop(const caller_request_ptr& request);
    void on_deadline(const caller_request_ptr& request);
    /// Takes a running request off its target, which will be gone, and submits it again. False: it may not be
    /// sent again, or not now.
    bool move_elsewhere(const caller_request_ptr& request);
    [[nodiscard]] const core::dispatch::usual_answers& usual_answers(const std::string& service) {
        return usual_answers_[service];
    }

    /// Parts of prompts that crash targets. Peers exchange the evidence.
    [[nodiscard]] core::quarantine::suspect_parts& suspects() { return suspects_; }
    /// The same of whole requests, by fingerprint.
    [[nodiscard]] core::quarantine::suspect_parts& suspect_requests() { return suspect_requests_; }
    [[nodiscard]] bool is_blocked(const caller_request& request) const; // whether it must not be sent
    void update_budgets();

private:
    /// What the caller was sent last, for the log.
    struct final_answer {
        int status = 0; // 0: none
        core::common::duration retry_after{};
    };
    static void note_part(caller_request& request);
    [[nodiscard]] bool is_usable(const core::fleet::target_start& start) const;
    [[nodiscard]] bool may_send_now(const caller_request_ptr& request); // its connection is established
    /// Takes its tokens from the customer's rate when it is sent for the first time. False: refused.
    bool charge(const caller_request_ptr& request);
    void on_head(const caller_request_ptr& request, const edge::answer_head& head);
    void note_weights(caller_request& request, const edge::answer_head& head); // as the answer states them
    void on_body(const caller_request_ptr& request, std::string&& piece);
    void pass_on_events(const caller_request_ptr& request);
    void hold_until_start_known(const caller_request_ptr& request);
    void probe(const caller_request_ptr& request, const char* why, target_probe::handler on_result);
    void on_complete(const caller_request_ptr& request);
    void confirm_end(const caller_request_ptr& request);
    void complete_unless_running(const caller_request_ptr& request, const probe_answer& answer,
                                 core::common::time_point until);
    void ask_again_at_end(const caller_request_ptr& request, core::common::time_point until);
    void cut_running(const caller_request_ptr& request);
    void complete(const caller_request_ptr& request);
    void on_failed(const caller_request_ptr& request, exchange_failure failure);

    core::streams::event_fault relay_events(const caller_request_ptr& request); // those that are complete
    void wait_for_room(caller_request& request, std::size_t bytes);
    void write_events(const caller_request_ptr& request, const std::string& events);
    void note_origin(caller_request& request);
    void count_run(caller_request& request, core::common::time_point began); // once for each request
    void send_answer(const caller_request_ptr& request);
    void handle_rejection(const caller_request_ptr& request,
                          dispatcher::attempt_outcome outcome);   // has not run
    void handle_other_version(const caller_request_ptr& request); // it can't go on a stream at this target
    void note_broken_run(const caller_request& request);          // an attempt without a whole answer
    void note_sound(const caller_request& request);               // it has got a whole answer
    void note_crash(const caller_request& request);               // its target may have ended because of it
    void handle_unsent(const caller_request_ptr& request, dispatcher::attempt_outcome outcome,
                       const char* reason);
    void handle_broken_answer(const caller_request_ptr& request,
                              const char* reason); // its target broke it off
    void handle_lost_answer(const caller_request_ptr& request,
                            const char* reason); // may have run
    bool retry(const caller_request_ptr& request, const char* reason, bool spend_budget,
               dispatcher::attempt_outcome outcome = dispatcher::attempt_outcome::failed);
    void note_duration(const caller_request& request); // of a whole answer
    void close_exchange(const caller_request_ptr& request, dispatcher::attempt_outcome outcome);
    void fail(const caller_request_ptr& request, int status, const std::string& reason);
    void finish(const caller_request_ptr& request, std::string_view event, const std::string& outcome,
                const std::string& reason, const final_answer& sent);
    [[nodiscard]] static gateway_metrics::request_kind metric_kind(const caller_request& request);
    [[nodiscard]] std::string request_text(const caller_request& request, const std::string& target) const;
    [[nodiscard]] core::retries::window_limits budget_share() const;
    core::retries::window_budget& budget(const std::string& service);

    gateway_context& context_;
    target_probe probe_;
    std::function<void(const caller_request_ptr&)> on_finished_;
    dispatcher* dispatcher_ = nullptr;
    std::map<std::string, core::retries::window_budget> budgets_;        // by service
    std::map<std::string, core::dispatch::usual_answers> usual_answers_; // by service
    core::quarantine::suspect_parts suspects_;
    core::quarantine::suspect_parts suspect_requests_{core::quarantine::whole_request_options};
};

} // namespace waxwinglb::programs::gateway
