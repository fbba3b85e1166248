/// Turns at which all gateways send prompts to a target, and requests of any kind to one that has named a
/// limit. For each target one gateway, the scheduler, grants the turns. This gateway asks the schedulers for
/// turns for its own requests, and is itself the scheduler of some targets. Requests and grants are datagrams
/// between gateways.
#pragma once

#include "core/dispatch/prompt_turns.hpp"
#include "core/dispatch/scheduler_tenure.hpp"
#include "edge/codec.hpp"
#include "programs/gateway/context.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace waxwinglb::programs::gateway {

/// Requests for models have prompts, which are sent in turns.
[[nodiscard]] inline bool uses_prompt_turns(const core::fleet::model_ref& model) {
    return !model.model.empty();
}

/// What a turn is wanted for.
struct turn_wish {
    int tokens = 1; // of the prompt, at least 1
    core::dispatch::urgency need;
    std::string request_id;
};

/// The requests at a target, as this gateway knows them.
struct target_room {
    int load = 0;  // of all gateways
    int own = 0;   // of this gateway
    int limit = 0; // that may be there at once
};

class prompt_turns {
public:
    struct callbacks {
        std::function<void(const std::string& gateway, const std::string& frame)> send; // a datagram
        std::function<std::vector<std::string>()> gateways; // in contact, including this one
        std::function<void()> on_turn; // one of this gateway's turns begins: a waiting prompt may be sent
        std::function<target_room(const std::string& target)> room;
        std::function<void(const std::string& gateway, const std::string& target, int running)>
            on_running_stated; // a gateway has said in a request how many requests it runs at the target
    };
    prompt_turns(gateway_context& context, callbacks handlers)
        : context_(context), callbacks_(std::move(handlers)), tenure_(context.settings.name) {}

    /// Whether a request may be sent to the target now. Requests a turn for it if necessary.
    bool may_send(const std::string& target, const turn_wish& wish);
    /// With shared capacity: `wish` is of the most urgent waiting request that a turn at the target would
    /// serve. Replaces a queued request for a turn that was made for another kind of request.
    void offer(const std::string& target, const turn_wish& wish);
    [[nodiscard]] bool in_turn() const { return in_turn_; } // a turn was granted and can be used now
    [[nodiscard]] bool shares_capacity() const { return context_.settings.shared_room; }
    /// A peer has reported what it runs at the targets.
    void note_report(const std::string& peer);
    void tick(); // some times a second
    /// A request was sent to the target, in a turn or because its scheduler did not answer.
    void record_sent(const std::string& target, int tokens);
    /// If the target's scheduler has told this gateway to wait, the time until which other targets are
    /// preferred.
    [[nodiscard]] std::optional<core::common::time_point> queued_until(const std::string& target) const;
    /// Whether the target has named a limit, so that requests of every kind need turns.
    [[nodiscard]] bool is_limited(const std::string& target) const;
    [[nodiscard]] std::optional<double> limit_of(const std::string& target) const; // requests a second
    void remove_missing_targets(); // those no longer in the directory

    // Datagrams from other gateways.
    void handle(const wire::turn_request& request);
    void handle(const wire::turn_answer& answer);
    void handle(const wire::turn_use& use);

private:
    struct target_turns {
        core::dispatch::turn_client client;       // this gateway's requests for turns
        core::dispatch::turn_scheduler scheduler; // all gateways' requests, if this one is the scheduler
        std::string asked_scheduler;              // scheduler that got the newest request
        core::dispatch::urgency asked_need;       // of the newest request, and its own load then
        int asked_running = 0;
        core::common::time_point asked_at{};
        core::common::time_point full_logged_at{};
        edge::event_loop::timer_id timer; // fires at the next turn to grant, as scheduler
    };
    void ask(const std::string& target, target_turns& turns, const turn_wish& wish);
    void send_request(const std::string& target, target_turns& turns, const turn_wish& wish,
                      std::int64_t number);
    void grant_due_turn(const std::string& target);
    std::optional<std::int64_t> grant_next_turn(const std::string& target, target_turns& turns);
    void release_requests(const std::string& target, target_turns& turns);
    void send_answer(const std::string& gateway, wire::turn_answer& answer);
    void schedule_check(const target_turns& turns);
    void begin_turn(const std::string& target, std::int64_t number);
    void report_use(const std::string& target, target_turns& turns, int tokens);
    [[nodiscard]] core::dispatch::urgency read_need(const wire::turn_request& request) const;
    [[nodiscard]] bool is_full(const std::string& target) const;
    [[nodiscard]] bool may_grant(const std::string& target) const; // as scheduler of shared capacity
    void note_full(const std::string& target, target_turns& turns, const core::dispatch::turn_pace& pace);
    void log_grant(const std::string& target, const target_turns& turns,
                   const core::dispatch::turn_pace& pace);
    void show_waiting() const;
    [[nodiscard]] core::dispatch::turn_pace pace_of(const std::string& target) const;
    [[nodiscard]] const std::string& self() const { return context_.settings.name; }

    gateway_context& context_;
    callbacks callbacks_;
    std::map<std::string, target_turns> targets_;
    core::dispatch::scheduler_tenure tenure_;
    core::dispatch::report_times reported_at_; // when each peer's last status was received
    std::set<std::string> full_;               // targets whose next turn waits for a place
    bool in_turn_ = false;
    core::common::time_point ticked_at_{}; // with shared capacity
};

} // namespace waxwinglb::programs::gateway
