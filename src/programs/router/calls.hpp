/// The table of open requests: admits arrivals, carries out what their state machines ask for, answers
/// callers.
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

    // What the parts heard.
    void from_agent(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void agent_opened(const std::string& address, core::common::time_point now);
    void agent_closed(const std::string& address, core::common::time_point now);
    void view_updated(const wire::replica_view& pushed, core::common::time_point now);
    void claimed(call_id call, const wire::claim_result& result, core::common::time_point now);
    void rates_changed(core::common::time_point now);
    void config_applied(core::common::time_point now); // keys of open requests are checked again

    void tick(core::common::time_point now);
    [[nodiscard]] core::common::time_point next_wake() const;
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    using actions = core::routing::actions;

    // Admission
    struct admission;
    std::optional<problem> check_key(admission& one, core::common::time_point now) const;
    std::optional<problem> resolve_chat(admission& one) const;
    std::optional<problem> resolve_plain(admission& one) const;
    void list_models(const arrival& request, core::common::time_point now) const;
    void begin(admission& one, core::common::time_point now);
    void reserve(live_call& call, core::common::time_point now);

    // Carrying out
    void run(live_call& call, const actions& todo, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::place_action& what, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::claim_action& what, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::connect_action& what, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::run_action& what, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::resume_action& what, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::cancel_action& what, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::acknowledge_action& what,
                   core::common::time_point now);
    void carry_out(live_call& call, const core::routing::deliver_action& what, core::common::time_point now);
    void carry_out(live_call& call, const core::routing::finish_action& what, core::common::time_point now);
    void place(live_call& call, core::common::time_point now);
    void place_later(live_call& call, core::common::time_point now);
    [[nodiscard]] bool tried_all(const live_call& call, const replica_set_view& view) const;
    void end(live_call& call, core::routing::end_reason why, core::common::milliseconds retry_after,
             core::common::time_point now);
    void end_keyed(core::routing::end_reason why, bool withdrawn_only, core::common::time_point now);

    // Answering
    void answer(live_call& call, const core::routing::ending& end);
    void answer_chat(live_call& call, const core::routing::ending& end);
    void answer_plain(live_call& call, const core::routing::ending& end);
    void answer_problem(live_call& call, const core::routing::ending& end);
    void begin_stream(live_call& call);
    void settle_claim(live_call& call, const core::routing::ending& end, core::common::time_point now);
    void settle_rate(live_call& call, const core::routing::ending& end, core::common::time_point now);
    void count(live_call& call, const core::routing::ending& end);
    void note_first_byte(live_call& call, core::common::time_point now);

    // Agents' messages
    void on_accepted(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_chunk(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_finished(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_refused(const std::string& address, const edge::frame& frame, core::common::time_point now);
    void on_cancel_result(const std::string& address, const edge::frame& frame, core::common::time_point now);
    template<class step_type>
    void each_of(const std::string& request_id, const std::string& address, core::common::time_point now,
                 step_type&& step);

    void reschedule(live_call& call);
    void bury(); // drops ended calls
    live_call* find(call_id id);
    void release_load(live_call& call);
    core::retries::token_bucket_budget& retry_budget(const std::string& customer, const std::string& service);
    std::uint64_t random();

    router_parts& parts_;
    std::map<call_id, std::unique_ptr<live_call>> calls_;
    std::unordered_multimap<std::string, call_id> by_request_; // id that agents know -> call
    std::set<std::pair<core::common::time_point, call_id>> timers_;
    std::set<std::pair<core::common::time_point, call_id>> pauses_; // calls that are placed again then
    std::vector<call_id> ended_;
    std::map<std::string, core::retries::token_bucket_budget> budgets_; // by "customer/service"
    std::string id_prefix_; // makes request ids unique over routers and restarts
    call_id last_id_ = 0;
    std::uint64_t random_state_;
    bool was_fresh_ = false;
    edge::logger log_ = edge::make_logger("router.calls");
};

} // namespace waxwinglb::programs::router
