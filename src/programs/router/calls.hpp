/// Table of open requests: admits requests, executes the actions of their state machines, answers callers.
#pragma once

#include "programs/router/live_call.hpp"
#include "programs/router/parts.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwinglb::programs::router {

class call_table {
public:
    explicit call_table(router_parts& parts);

    void admit(arrival&& request, core::common::time_point now);

    // Events from the other parts of the router.
    void handle_agent_message(const std::string& address, const edge::frame& frame,
                              core::common::time_point now);
    void handle_agent_opened(const std::string& address, core::common::time_point now);
    void handle_agent_closed(const std::string& address, core::common::time_point now);
    void handle_view(const wire::replica_view& pushed, core::common::time_point now);
    void handle_claim_result(call_id call, const wire::claim_result& result, core::common::time_point now);
    void retry_reservations(core::common::time_point now);
    void handle_config_applied(core::common::time_point now); // checks the keys of open requests again

    void tick(core::common::time_point now);
    [[nodiscard]] core::common::time_point next_wake() const;
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    using actions = core::routing::actions;

    // Admission
    struct admission;
    std::optional<problem> check_key(admission& candidate, core::common::time_point now) const;
    std::optional<problem> resolve_chat(admission& candidate) const;
    std::optional<problem> resolve_plain(admission& candidate) const;
    void list_models(const arrival& request, core::common::time_point now) const;
    void begin(admission& candidate, core::common::time_point now);
    void reserve(live_call& call, core::common::time_point now);

    // Execution of actions
    void execute_actions(live_call& call, const actions& pending, core::common::time_point now);
    void execute(live_call& call, const core::routing::place_action& action, core::common::time_point now);
    void execute(live_call& call, const core::routing::claim_action& action, core::common::time_point now);
    void execute(live_call& call, const core::routing::connect_action& action, core::common::time_point now);
    void execute(live_call& call, const core::routing::run_action& action, core::common::time_point now);
    void execute(live_call& call, const core::routing::resume_action& action, core::common::time_point now);
    void execute(live_call& call, const core::routing::cancel_action& action, core::common::time_point now);
    void execute(live_call& call, const core::routing::acknowledge_action& action,
                 core::common::time_point now);
    void execute(live_call& call, const core::routing::deliver_action& action, core::common::time_point now);
    void execute(live_call& call, const core::routing::finish_action& action, core::common::time_point now);
    void place(live_call& call, core::common::time_point now);
    void schedule_retry(live_call& call, core::common::time_point now);
    [[nodiscard]] bool tried_all(const live_call& call, const replica_set_view& view) const;
    void end_call(live_call& call, core::routing::end_reason reason, core::common::milliseconds retry_after,
                  core::common::time_point now);
    void end_calls_with_key(core::routing::end_reason reason, bool withdrawn_only,
                            core::common::time_point now);

    // Answers to callers
    void answer(live_call& call, const core::routing::ending& end);
    void answer_chat(live_call& call, const core::routing::ending& end);
    void answer_plain(live_call& call, const core::routing::ending& end);
    void answer_problem(live_call& call, const core::routing::ending& end);
    void begin_stream(live_call& call);
    void settle_claim(live_call& call, const core::routing::ending& end, core::common::time_point now);
    void settle_rate(live_call& call, const core::routing::ending& end, core::common::time_point now);
    void record_end(live_call& call, const core::routing::ending& end);
    void record_first_byte(live_call& call, core::common::time_point now);

    // Agents' messages
    void on_accepted(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_chunk(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_finished(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_refused(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_cancel_result(const std::string& address, const edge::frame& frame, core::common::time_point now);
    template<class step_type>
    void apply_to_calls(const std::string& request_id, const std::string& address,
                        core::common::time_point now, step_type&& step);

    void reschedule(live_call& call);
    void remove_ended_calls();
    live_call* find(call_id id);
    void release_load(live_call& call);
    core::retries::token_bucket_budget& retry_budget(const std::string& customer, const std::string& service);
    std::uint64_t next_random();

    router_parts& parts_;
    std::map<call_id, std::unique_ptr<live_call>> calls_;
    std::unordered_multimap<std::string, call_id> calls_by_request_id_; // request id sent to agents -> call
    std::set<std::pair<core::common::time_point, call_id>> timers_;
    std::set<std::pair<core::common::time_point, call_id>> pauses_; // time at which a call is placed again
    std::vector<call_id> ended_;
    std::map<std::string, core::retries::token_bucket_budget> budgets_; // by "customer/service"
    std::string id_prefix_; // makes request ids unique across routers and restarts
    call_id last_id_ = 0;
    std::uint64_t random_state_;
    bool was_fresh_ = false;
    edge::logger log_ = edge::make_logger("router.calls");
};

} // namespace waxwinglb::programs::router
