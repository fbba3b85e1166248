/// Requests that wait, the targets as this gateway sees them, and the moment at which one goes to the other.
#pragma once

#include "core/dispatch/wait_policy.hpp"
#include "programs/gateway/call.hpp"
#include "programs/gateway/context.hpp"
#include "programs/gateway/reading_turns.hpp"

#include <functional>
#include <map>
#include <tuple>
#include <vector>

namespace waxwinglb::programs::gateway {

/// Requests of one gateway at one target, by model.
struct target_usage {
    int running = 0;
    core::common::time_point last_used{};
};
using usage_map = std::map<std::pair<std::string, core::fleet::model_ref>, target_usage>; // (target, model)

class dispatcher {
public:
    struct owner {
        std::function<void(const call_ptr&, const std::string& target)> on_send; // a place was found
        std::function<void(const call_ptr&, core::dispatch::obstacle, core::common::duration retry_after)>
            on_refuse;
        std::function<void()> on_new_wait; // a model is waited for that wasn't before
    };
    dispatcher(gateway_context& context, owner to) : context_(context), owner_(std::move(to)) {}
    void attach(reading_turns& turns) { turns_ = &turns; }

    void submit(const call_ptr& one);                    // waits until on_send or on_refuse
    void withdraw(const call_ptr& one);                  // it waits no longer
    void refuse_all(core::common::duration retry_after); // the process ends: others serve them
    void pump();                                         // looks for places now
    void pump_soon();                                    // looks for places in the next turn of the loop

    // What became of requests at targets.
    enum class verdict { good, failed, not_run, lacks_model, unreachable, abandoned };
    void begin(const call_ptr& one, const std::string& target);
    void end(const call_ptr& one, verdict how);
    void began_to_answer(const call_ptr& one); // its target has read its prompt
    std::shared_ptr<target_link> link(const std::string& target);
    [[nodiscard]] int load_of(const std::string& target) const; // requests there, of all gateways
    void forget_missing();                                      // targets that are no longer in the directory

    [[nodiscard]] std::map<std::string, int> own_loads() const; // this gateway's requests, by target
    /// Requests of other gateways at each target, as last told.
    void peer_load(const std::string& peer, std::map<std::string, int> running);

    /// For the order giver and the peers.
    struct waiting_sum {
        std::string service;
        int count = 0;
        core::common::time_point oldest{};
        int priority = 9;
    };
    [[nodiscard]] std::map<core::fleet::model_ref, waiting_sum> waiting_by_model() const;
    [[nodiscard]] const usage_map& usage() const { return usage_; }
    struct arrival_rate {
        std::string service;
        double per_second = 0;
    };
    [[nodiscard]] std::map<core::fleet::model_ref, arrival_rate> arrival_rates() const;
    [[nodiscard]] const target_link::counters& connections() const { return connections_; }

private:
    struct target_runtime {
        std::shared_ptr<target_link> link;
        std::string address;
        int running = 0;
        int reading = 0; // tokens of prompts that it hasn't read yet
        double failure_rate = 0;
        core::common::time_point suspect_until{};
        core::common::milliseconds suspicion{0}; // grows with each failure in a row
        struct absence {
            core::common::time_point until{};
            core::common::milliseconds pause{0};
        };
        std::map<core::fleet::model_ref, absence> lacking; // what it said that it doesn't hold
        double cold_tokens = 1;
        core::common::time_point cold_filled{};
    };
    struct arrivals {
        std::string service;
        double sum = 0; // decaying
        core::common::time_point at{};
    };
    using order_key = std::tuple<bool, int, std::uint64_t>; // late, priority, arrival

    using group_key = std::pair<std::string, core::fleet::model_ref>; // service, what is wished of it
    using candidate_list = std::vector<core::dispatch::candidate>;

    /// What one look at all waiting requests has found out so far.
    struct pass {
        std::map<group_key, candidate_list> by_group;
        std::map<group_key, core::dispatch::obstacle> blocked;
        std::vector<std::tuple<call_ptr, core::dispatch::obstacle, core::common::duration>> refused;
        bool new_wait = false;
    };

    [[nodiscard]] std::vector<call_ptr> in_order() const;
    void place_or_wait(const call_ptr& one, pass& state);
    [[nodiscard]] core::dispatch::choice choose_for(const call& one, pass& state);
    void wait_on(const call_ptr& one, core::dispatch::obstacle why, pass& state);
    [[nodiscard]] candidate_list candidates(const std::string& service, const core::fleet::model_ref& wish);
    [[nodiscard]] int limit_of(const core::fleet::target& one) const;
    bool cold_allowance(const core::fleet::target& target, target_runtime& runtime);
    void count_arrival(const call& one);
    [[nodiscard]] core::dispatch::target_criteria wish_of(const call& one) const;
    void schedule_overdue();
    [[nodiscard]] core::dispatch::wait_decision patience_of(const call& one, core::dispatch::obstacle why,
                                                            const candidate_list& among) const;

    gateway_context& context_;
    owner owner_;
    reading_turns* turns_ = nullptr;
    std::map<std::uint64_t, call_ptr> waiting_;                    // by order of arrival
    std::map<std::string, target_runtime> runtimes_;               // by target id
    std::map<std::string, std::map<std::string, int>> peer_loads_; // peer -> target -> requests
    usage_map usage_;
    std::map<core::fleet::model_ref, arrivals> arrivals_;
    std::uint64_t last_order_ = 0;
    std::size_t running_ = 0;
    target_link::counters connections_;
    bool pump_planned_ = false;
    edge::event_loop::timer_id overdue_timer_;
};

} // namespace waxwinglb::programs::gateway
