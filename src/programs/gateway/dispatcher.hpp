/// Queues requests and sends each to a target once one has capacity. Tracks load, failures and reachability
/// of the targets as this gateway sees them.
#pragma once

#include "core/dispatch/fleet_load.hpp"
#include "core/dispatch/wait_policy.hpp"
#include "platform/target_notice.hpp"
#include "programs/gateway/caller_request.hpp"
#include "programs/gateway/context.hpp"
#include "programs/gateway/prompt_turns.hpp"

#include <functional>
#include <map>
#include <span>
#include <tuple>
#include <vector>

namespace waxwinglb::programs::gateway {

/// Requests of one gateway at one target, by model.
struct target_usage {
    int running = 0;
    core::common::time_point last_used{};
};
using usage_map = std::map<std::pair<std::string, core::fleet::model_ref>, target_usage>; // (target, model)

/// What an answer of a target answers.
enum class answered_call {
    request, // of a caller; one that names no limit ends the target's limit
    control, // an order or a report
};

class dispatcher {
public:
    struct callbacks {
        std::function<void(const caller_request_ptr&, const std::string& target)> on_send; // target chosen
        std::function<void(const caller_request_ptr&, core::dispatch::obstacle,
                           core::common::duration retry_after)>
            on_refuse;
        std::function<void()> on_new_wait; // a request has started to wait
        std::function<void()>
            on_urgent_update; // a target has said in an answer that it leaves, or another limit
    };
    dispatcher(gateway_context& context, callbacks handlers)
        : context_(context), callbacks_(std::move(handlers)) {}
    void attach(prompt_turns& turns) { turns_ = &turns; }

    void submit(const caller_request_ptr& request);      // queues until on_send or on_refuse
    void withdraw(const caller_request_ptr& request);    // removes the request from the queue
    void refuse_all(core::common::duration retry_after); // at shutdown: other gateways serve the retries
    void dispatch_waiting();                             // tries to place all waiting requests now
    void schedule_dispatch();                            // the same in the next iteration of the event loop
    void schedule_dispatch_soon();                       // the same, together with other peers' news

    // Attempts at targets.
    enum class attempt_outcome { succeeded, failed, not_run, lacks_model, unreachable, abandoned };
    void begin_attempt(const caller_request_ptr& request, const std::string& target);
    void end_attempt(const caller_request_ptr& request, attempt_outcome outcome);
    /// Takes note of what a target says about itself in the head of any answer.
    void note_answer(const core::fleet::target_start& from, int status,
                     std::span<const edge::http_field> fields, answered_call call);
    /// Logs that a target has named another limit, or none (-1). `source`: the gateway that it told.
    void log_limit(const core::fleet::target_start& from, std::optional<double> per_second,
                   const std::string& source);
    /// When there will be room for a request that no target took, for its caller.
    [[nodiscard]] core::common::duration retry_after_for(const caller_request& request);
    void on_answer_started(const caller_request_ptr& request); // the target has read the prompt
    /// Whether a target can take the request now. Where it runs doesn't count if its target is leaving.
    [[nodiscard]] bool has_room_for(const caller_request& request);
    std::shared_ptr<target_link> link(const std::string& target);
    [[nodiscard]] int room_of(const core::fleet::target& target) const; // requests that it runs at once
    [[nodiscard]] int load_of(const std::string& target) const; // requests at the target from all gateways
    void remove_missing_targets();                              // those no longer in the directory

    [[nodiscard]] target_room room_at(const std::string& target) const;
    [[nodiscard]] std::map<std::string, int> own_loads() const; // this gateway's running requests by target
    /// Sets the running requests by target that a peer last reported.
    void set_peer_load(const std::string& peer, core::dispatch::fleet_load::counts running);
    /// Sets those at one target, which the peer has stated since.
    void set_peer_load_at(const std::string& peer, const std::string& target, int running);

    /// For the order giver and the peers.
    struct waiting_summary {
        std::string service;
        int count = 0;
        core::common::time_point oldest{};
        int priority = 9;
    };
    [[nodiscard]] std::map<core::fleet::model_ref, waiting_summary> waiting_by_model() const;
    [[nodiscard]] const usage_map& usage() const { return usage_; }
    struct arrival_rate {
        std::string service;
        double per_second = 0;
    };
    [[nodiscard]] std::map<core::fleet::model_ref, arrival_rate> arrival_rates() const;
    [[nodiscard]] const target_link::connection_counters& connection_counters() const { return connections_; }

    // Speeds of targets (dispatcher_speeds.cpp); without effect unless dispatch.learn_speeds is set.
    /// Takes note of how long a unit of work took: the pause before one event of a stream, or a whole call.
    void note_work(const caller_request& request, core::common::duration took);
    void update_speeds(); // to be called regularly

private:
    struct target_runtime {
        std::shared_ptr<target_link> link;
        std::string address;
        int running = 0;
        int unread_prompt_tokens = 0; // of this gateway's requests without a first event
        double failure_rate = 0;
        core::common::time_point unreachable_until{};
        core::common::milliseconds unreachable_backoff{0}; // doubles with each consecutive failure
        struct missing_model {
            core::common::time_point until{};
            core::common::milliseconds backoff{0};
        };
        std::map<core::fleet::model_ref, missing_model> missing_models; // reported by the target
        double cold_tokens = 1;
        core::common::time_point cold_filled_at{};
    };
    struct arrival_counter {
        std::string service;
        double sum = 0; // decays exponentially
        core::common::time_point updated_at{};
    };
    using priority_key = std::tuple<bool, int, std::uint64_t>; // late, priority, arrival

    using group_key = std::pair<std::string, core::fleet::model_ref>; // service, requested model
    using candidate_list = std::vector<core::dispatch::candidate>;

    /// Results shared by the requests of one pass over the queue.
    struct dispatch_pass {
        std::map<group_key, candidate_list> holders; // targets that hold the model of the group, or load it
        std::map<group_key, candidate_list> all;     // all targets, where no holder can take a request
        std::map<group_key, core::dispatch::choice> blocked;
        std::vector<std::tuple<caller_request_ptr, core::dispatch::obstacle, core::common::duration>> refused;
        std::set<std::string> offered; // targets for which a more urgent request wants the turn
        bool new_wait = false;
    };

    [[nodiscard]] std::vector<caller_request_ptr> waiting_in_order() const;
    [[nodiscard]] std::vector<caller_request_ptr> waiting_by_urgency() const; // with shared capacity
    [[nodiscard]] std::vector<core::dispatch::urgency>
    needs_of(const std::vector<caller_request_ptr>& requests) const;
    [[nodiscard]] core::dispatch::urgency need_of(const caller_request& request) const;
    void count_granted(const caller_request& request);
    [[nodiscard]] double tokens_per_ms() const; // that a target reads, as set; 0: unknown
    void offer_turns(const caller_request& request, const candidate_list& holders,
                     dispatch_pass& current_pass);
    void try_dispatch(const caller_request_ptr& request, dispatch_pass& current_pass);
    [[nodiscard]] core::dispatch::choice choose_target(const caller_request& request,
                                                       dispatch_pass& current_pass);
    void keep_waiting(const caller_request_ptr& request, const core::dispatch::choice& blocked,
                      dispatch_pass& current_pass);
    /// The targets of a service. `holders_only`: those that hold the model or load it.
    [[nodiscard]] candidate_list candidates(const group_key& group, bool holders_only);
    [[nodiscard]] core::dispatch::candidate make_candidate(const core::fleet::target& target,
                                                           const core::fleet::model_ref& ref);
    void refresh(candidate_list& list, const std::string& target, const core::fleet::model_ref& ref);
    [[nodiscard]] int limit_of(const core::fleet::target& target) const; // of one of the usual speed
    bool has_cold_allowance(const core::fleet::target& target, target_runtime& runtime);
    void count_arrival(const caller_request& request);
    [[nodiscard]] core::dispatch::target_criteria criteria_for(const caller_request& request) const;
    void schedule_wait_check();
    void note_limit(const core::fleet::target_start& from, std::optional<double> per_second);
    [[nodiscard]] core::dispatch::wait_decision wait_limit_for(const caller_request& request,
                                                               const core::dispatch::choice& blocked,
                                                               const candidate_list& among) const;
    [[nodiscard]] std::string describe(const core::dispatch::choice& blocked) const;

    /// Requests of one group that this gateway sent lately; the sum decays with time.
    struct send_counter {
        double sum = 0;
        core::common::time_point updated_at{};
    };
    void note_load(const core::fleet::target_start& from, const platform::target_notice& notice);
    void count_send(const caller_request& request);
    [[nodiscard]] core::dispatch::choice_spread spread_for(const caller_request& request) const;
    void scale_by_speed(core::dispatch::candidate& option) const;

    std::map<group_key, send_counter> recent_sends_;
    core::common::time_point speeds_checked_at_{};

    gateway_context& context_;
    callbacks callbacks_;
    prompt_turns* turns_ = nullptr;
    std::map<std::uint64_t, caller_request_ptr> waiting_; // by arrival number
    std::map<std::string, target_runtime> runtimes_;      // by target id
    core::dispatch::fleet_load peer_load_;
    std::map<std::string, core::dispatch::urgency_order> orders_; // by service, with shared capacity
    usage_map usage_;
    std::map<core::fleet::model_ref, arrival_counter> arrivals_;
    std::uint64_t last_arrival_number_ = 0;
    std::size_t running_ = 0;
    target_link::connection_counters connections_;
    bool dispatch_scheduled_ = false;
    bool dispatch_soon_ = false;
    edge::event_loop::timer_id wait_timer_;
};

} // namespace waxwinglb::programs::gateway
