#include "programs/router/calls.hpp"

#include "core/claims/record.hpp"
#include "core/keys/access.hpp"
#include "programs/router/front.hpp"

#include <algorithm>
#include <chrono>
#include <random>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;
using core::routing::end_reason;

constexpr milliseconds short_retry{1'000};
constexpr milliseconds unsettled_after{
    30'000}; // an outcome that could not be stored by then is dropped; the claim stays open

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

call_table::call_table(router_parts& parts) : parts_(parts), random_state_(std::random_device{}()) {
    id_prefix_ = parts_.context.name + "-" + std::to_string(unix_ms()) + "-";
}

void call_table::execute_actions(live_call& call, const actions& pending, time_point now) {
    for (const core::routing::action& action : pending)
        std::visit([&](const auto& typed_action) { execute(call, typed_action, now); }, action);
    reschedule(call);
}

void call_table::execute(live_call& call, const core::routing::place_action& action, time_point now) {
    if (!action.avoid.empty())
        parts_.metrics.count_retry();
    release_load(call);
    call.avoid = action.avoid;
    call.retry_pause = action.pause;
    call.retry_at = {};
    call.placing_since = now;
    call.cold = false;
    place(call, now);
}

/// Chooses a target from the view, or makes the call wait for a replica.
void call_table::place(live_call& call, time_point now) {
    if (!call.state_machine.waits_for_replica() || call.retry_at > now)
        return;
    replica_set_view& view = parts_.views.use(call.service, call.model, now);
    const auto quarantine = view.quarantined_until.find(call.fingerprint);
    if (quarantine != view.quarantined_until.end() && now < quarantine->second)
        return end_call(call, end_reason::quarantined,
                        std::chrono::ceil<milliseconds>(quarantine->second - now), now);
    core::routing::replica_criteria criteria;
    criteria.adapter = call.request.chat.adapter;
    criteria.own_data_centre = parts_.settings.data_centre;
    criteria.excluded_data_centres = &parts_.config.data_centres_out();
    criteria.avoid = call.avoid;
    criteria.random = next_random();
    const core::routing::replica* chosen =
        view.valid(now) ? core::routing::choose(view.replicas, criteria) : nullptr;
    if (chosen != nullptr) {
        parts_.views.stop_waiting(call.service, call.model, call.id);
        if (call.cold)
            parts_.metrics.cold_start(now - call.placing_since);
        call.address = chosen->address;
        return execute_actions(call, call.state_machine.placed(chosen->target, now), now);
    }
    if (view.valid(now) && view.reason != wire::refusal::none)
        return end_call(call, end_reason::no_replica, std::max(view.retry_after, short_retry), now);
    if (view.valid(now) && tried_all(call, view))
        return schedule_retry(call, now);
    call.cold = call.cold || (view.valid(now) && !call.model.empty());
    parts_.views.add_waiting(view, call.id, {call.customer, call.cost, call.state_machine.options().deadline},
                             now);
    if (view.valid(now))
        execute_actions(call, call.state_machine.wait_for_replica(view.estimate_left(now), now), now);
}

bool call_table::tried_all(const live_call& call, const replica_set_view& view) const {
    return std::any_of(view.replicas.begin(), view.replicas.end(),
                       [&](const core::routing::replica& replica) {
                           return replica.ready && call.avoid.contains(replica.target);
                       });
}

/// Every target has refused the call or failed: tries them again after a pause if the deadline allows.
void call_table::schedule_retry(live_call& call, time_point now) {
    if (call.retry_at > now)
        return;
    call.retry_at = now + call.retry_pause;
    call.avoid.clear();
    pauses_.insert({call.retry_at, call.id});
    execute_actions(call, call.state_machine.wait_for_replica(call.retry_pause, now), now);
}

void call_table::execute(live_call& call, const core::routing::claim_action& action, time_point now) {
    (void)action;
    call.claim.__set_attempt(1);
    call.claim.__set_target(call.state_machine.target());
    call.claim.__set_address(call.address);
    call.claim.__set_state("running");
    call.claim.__set_expires_unix_ms(unix_ms() +
                                     core::common::to_wire_ms(call.state_machine.options().deadline - now));
    parts_.claims.request_claim(call.id, call.claim, call.state_machine.options().deadline, now);
}

void call_table::handle_claim_result(call_id id, const wire::claim_result& result, time_point now) {
    live_call* call = find(id);
    if (call == nullptr || !call->state_machine.waits_for_claim() || result.key != call->claim.key)
        return;
    const bool own = result.existing.request_id == call->claim.request_id;
    const bool granted = result.granted || (own && result.existing.state == "running");
    if (!granted && result.reason == wire::refusal::not_holder)
        return; // sent again at the next tick, by then to the new holder
    parts_.claims.stop_requesting(id);
    if (granted) {
        call->claim_granted = true;
        return execute_actions(*call, call->state_machine.claim_granted(now), now);
    }
    const milliseconds wait{std::max<std::int64_t>(result.retry_after_ms, 0)};
    if (result.mismatch)
        return end_call(*call, end_reason::body_mismatch, {}, now);
    const bool done = result.existing.state == "done";
    const bool has_body = !result.existing.answer.empty() || result.existing.content_type.empty();
    if (done && has_body) {
        core::routing::ending kept;
        kept.reason = end_reason::kept_answer;
        kept.ran = core::routing::run_state::run;
        kept.status = result.existing.status;
        kept.body = result.existing.answer;
        kept.headers.push_back({"content-type", result.existing.content_type});
        return execute_actions(*call, call->state_machine.end(std::move(kept), now), now);
    }
    if (done || (result.existing.state == "running" && unix_ms() < result.existing.expires_unix_ms)) {
        call->claim = result.existing;
        call->address = result.existing.address;
        calls_by_request_id_.emplace(result.existing.request_id, id);
        return execute_actions(
            *call,
            call->state_machine.collect(result.existing.request_id, result.existing.attempt, done, now), now);
    }
    if (result.existing.state == "running" || result.existing.state == "unknown") {
        core::routing::ending unknown;
        unknown.reason = end_reason::outcome_unknown;
        unknown.ran = core::routing::run_state::unknown;
        return execute_actions(*call, call->state_machine.end(std::move(unknown), now), now);
    }
    end_call(*call, end_reason::store_unavailable, std::max(wait, short_retry), now);
}

void call_table::execute(live_call& call, const core::routing::connect_action& action, time_point now) {
    (void)action;
    if (parts_.agents.ensure_link(call.address, now))
        execute_actions(call, call.state_machine.link_ready(parts_.agents.boot_of(call.address), now), now);
}

void call_table::execute(live_call& call, const core::routing::run_action& action, time_point now) {
    const edge::http_request& http = call.request.exchange->request();
    const bool chat = call.request.kind == arrival_kind::chat;
    wire::run_request request;
    request.__set_request_id(call.state_machine.options().request_id);
    request.__set_attempt(action.attempt);
    request.__set_customer(call.customer);
    request.__set_service_name(call.service);
    request.__set_model(call.model);
    request.__set_adapter(call.request.chat.adapter);
    request.__set_remaining_ms(core::common::to_wire_ms(call.state_machine.options().deadline - now));
    request.__set_priority(call.request.chat.priority);
    request.__set_repeatable(call.state_machine.options().repeatable);
    request.__set_prompt_tokens(call.request.chat.prompt_tokens);
    request.__set_max_tokens(call.request.chat.max_tokens);
    request.__set_method(http.method);
    request.__set_path(chat ? http.path : call.request.path);
    for (const auto& [name, value] : http.headers) {
        if (!is_forwarded(name))
            continue;
        wire::header_field field;
        field.__set_name(name);
        field.__set_value(value);
        request.headers.push_back(field);
    }
    request.__isset.headers = true;
    request.__set_body(http.body);
    request.__set_config_revision(parts_.config.state().revision);
    request.__set_fingerprint(call.fingerprint);
    request.__set_isolate(action.isolate);
    request.__set_stream(call.state_machine.options().streamed);
    request.__set_weight(call.weight);
    parts_.agents.send(call.address, wire::message_kind::run_request, call.id, request);
    parts_.views.adjust_unreported(call.service, call.model, call.state_machine.target(), 1);
    call.unreported_target = call.state_machine.target();
    parts_.context.timeline.add(edge::event_kind::attempt, call.state_machine.options().request_id,
                                "attempt " + std::to_string(action.attempt) + " sent to " +
                                    call.state_machine.target());
}

void call_table::execute(live_call& call, const core::routing::resume_action& action, time_point now) {
    (void)now;
    wire::resume_request request;
    request.__set_request_id(action.request_id);
    request.__set_attempt(action.attempt);
    request.__set_offset(action.offset);
    parts_.agents.send(call.address, wire::message_kind::resume_request, call.id, request);
}

void call_table::execute(live_call& call, const core::routing::cancel_action& action, time_point now) {
    (void)now;
    wire::cancel_request request;
    request.__set_request_id(call.state_machine.options().request_id);
    request.__set_attempt(action.attempt);
    request.__set_agent_boot(action.agent_boot);
    parts_.agents.send(call.address, wire::message_kind::cancel_request, call.id, request);
}

/// For a claimed call, the agent keeps the answer until the claim's outcome is stored.
void call_table::execute(live_call& call, const core::routing::acknowledge_action& action, time_point now) {
    (void)now;
    if (!call.claim.key.empty())
        return;
    wire::ack_request request;
    request.__set_request_id(action.request_id);
    request.__set_attempt(action.attempt);
    parts_.agents.send(call.address, wire::message_kind::ack_request, call.id, request);
}

void call_table::execute(live_call& call, const core::routing::finish_action& action, time_point now) {
    call.ended = true;
    ended_.push_back(call.id);
    release_load(call);
    parts_.rates.stop_waiting(call.customer, call.id);
    parts_.views.stop_waiting(call.service, call.model, call.id);
    parts_.claims.stop_requesting(call.id);
    if (!action.end.body.empty())
        record_first_byte(call, now);
    answer(call, action.end);
    settle_rate(call, action.end, now);
    settle_claim(call, action.end, now);
    record_end(call, action.end);
}

void call_table::settle_rate(live_call& call, const core::routing::ending& end, time_point now) {
    if (!call.reserved)
        return;
    std::int64_t used = call.cost; // if the usage is unknown, the whole cost counts as spent
    if (end.ran == core::routing::run_state::not_run || end.reason == end_reason::kept_answer ||
        call.state_machine.collecting())
        used = 0;
    else if (end.used_tokens >= 0 && !call.model.empty())
        used = std::min(call.cost, std::max<std::int64_t>(1, end.used_tokens));
    parts_.rates.settle(call.customer, call.reservation, used, now);
}

void call_table::settle_claim(live_call& call, const core::routing::ending& end, time_point now) {
    using core::claims::max_kept_answer; // for a larger answer, the claim is stored as done without a body
    if (call.claim.key.empty() || end.reason == end_reason::kept_answer)
        return;
    const bool collected = call.state_machine.collecting() && end.reason == end_reason::completed;
    if (call.state_machine.collecting() && !collected)
        return; // the claim belongs to another call
    retained_answer retained;
    if (end.reason == end_reason::completed) {
        call.claim.__set_state("done");
        call.claim.__set_status(end.status);
        const bool kept_whole = end.body.size() <= max_kept_answer;
        call.claim.__set_answer(kept_whole ? end.body : std::string{});
        for (const core::routing::answer_field& field : end.headers)
            if (field.name == "content-type")
                call.claim.__set_content_type(field.value);
        if (kept_whole)
            retained.address = call.address; // else only the agent has the answer: it gets no acknowledgement
        retained.ack.__set_request_id(call.claim.request_id);
        retained.ack.__set_attempt(collected ? call.claim.attempt : call.state_machine.attempt());
    } else if (end.ran == core::routing::run_state::not_run) {
        // Also if no claim result arrived: the claim may have been stored.
        if (end.reason == end_reason::body_mismatch)
            return;
        call.claim.__set_state("not_run");
    } else if (end.reason == end_reason::target_failed) {
        call.claim.__set_state("unknown"); // ended, and no process has an answer
    } else {
        return; // may still run: a retry by the caller may collect the answer from the agent
    }
    parts_.claims.report_outcome(call.claim, retained, now + unsettled_after, now);
}

void call_table::record_end(live_call& call, const core::routing::ending& end) {
    const char* code = core::routing::code_of(end.reason);
    parts_.metrics.count_end(call.service, code);
    const bool served = end.reason == end_reason::completed || end.reason == end_reason::kept_answer;
    if (!served)
        parts_.metrics.count_refusal(code, end.reason != end_reason::rate_limited);
    parts_.context.timeline.add(edge::event_kind::request, call.state_machine.options().request_id,
                                std::string("ended: ") + code);
}

void call_table::end_call(live_call& call, end_reason reason, milliseconds retry_after, time_point now) {
    core::routing::ending ending;
    ending.reason = reason;
    ending.retry_after = retry_after;
    execute_actions(call, call.state_machine.end(std::move(ending), now), now);
}

void call_table::handle_agent_opened(const std::string& address, time_point now) {
    for (auto& [id, call] : calls_)
        if (!call->ended && call->address == address)
            execute_actions(*call, call->state_machine.link_ready(parts_.agents.boot_of(address), now), now);
    remove_ended_calls();
}

void call_table::handle_agent_closed(const std::string& address, time_point now) {
    for (auto& [id, call] : calls_)
        if (!call->ended && call->address == address)
            execute_actions(*call, call->state_machine.link_lost(now), now);
    remove_ended_calls();
}

void call_table::handle_view(const wire::replica_view& pushed, time_point now) {
    for (const call_id id : parts_.views.apply_view(pushed, now))
        if (live_call* call = find(id))
            place(*call, now);
    remove_ended_calls();
}

void call_table::retry_reservations(time_point now) {
    for (const call_id id : parts_.rates.take_ready())
        if (live_call* call = find(id))
            reserve(*call, now);
    remove_ended_calls();
}

void call_table::handle_config_applied(time_point now) {
    end_calls_with_key(end_reason::key_withdrawn, true, now);
    remove_ended_calls();
}

void call_table::end_calls_with_key(end_reason reason, bool withdrawn_only, time_point now) {
    const auto& state = parts_.config.state();
    for (auto& [id, call] : calls_) {
        if (call->ended || call->key_id.empty())
            continue;
        const bool granted = core::keys::still_granted(state, call->key_id, call->customer) &&
                             state.keys.at(call->key_id).digest == call->key_digest;
        if (withdrawn_only && granted)
            continue;
        execute_actions(*call, call->state_machine.abandon(reason, now), now);
    }
}

void call_table::tick(time_point now) {
    const bool fresh = parts_.config.fresh(now);
    if (was_fresh_ && !fresh) {
        log_->warn("The configuration is no longer fresh; ending all requests that came with a key.");
        end_calls_with_key(end_reason::not_fresh, false, now);
    }
    was_fresh_ = fresh;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const call_id id = timers_.begin()->second;
        timers_.erase(timers_.begin());
        live_call* call = find(id);
        if (call == nullptr)
            continue;
        call->timer_at = {};
        execute_actions(*call, call->state_machine.tick(now), now);
    }
    while (!pauses_.empty() && pauses_.begin()->first <= now) {
        const call_id id = pauses_.begin()->second;
        pauses_.erase(pauses_.begin());
        if (live_call* call = find(id))
            place(*call, now);
    }
    remove_ended_calls();
    parts_.metrics.open_requests(calls_.size());
}

time_point call_table::next_wake() const {
    return timers_.empty() ? time_point::max() : timers_.begin()->first;
}

void call_table::reschedule(live_call& call) {
    const time_point next = call.ended ? time_point{} : call.state_machine.next_wake();
    if (next == call.timer_at)
        return;
    if (call.timer_at != time_point{})
        timers_.erase({call.timer_at, call.id});
    call.timer_at = next;
    if (next != time_point{})
        timers_.insert({next, call.id});
}

void call_table::remove_ended_calls() {
    for (const call_id id : ended_) {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            continue;
        const live_call& call = *found->second;
        if (call.timer_at != time_point{})
            timers_.erase({call.timer_at, id});
        for (const std::string& request_id :
             {call.state_machine.options().request_id, call.claim.request_id}) {
            const auto [first, last] = calls_by_request_id_.equal_range(request_id);
            for (auto next = first; next != last;)
                next = next->second == id ? calls_by_request_id_.erase(next) : std::next(next);
        }
        calls_.erase(found);
    }
    ended_.clear();
}

live_call* call_table::find(call_id id) {
    const auto found = calls_.find(id);
    return found == calls_.end() || found->second->ended ? nullptr : found->second.get();
}

void call_table::release_load(live_call& call) {
    if (!call.unreported_target)
        return;
    parts_.views.adjust_unreported(call.service, call.model, *call.unreported_target, -1);
    call.unreported_target.reset();
}

core::retries::token_bucket_budget& call_table::retry_budget(const std::string& customer,
                                                             const std::string& service) {
    return budgets_[customer + "/" + service];
}

/// SplitMix64: spreads choices of targets; not for secrets.
std::uint64_t call_table::next_random() {
    random_state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t out = random_state_;
    out = (out ^ (out >> 30U)) * 0xbf58476d1ce4e5b9U;
    out = (out ^ (out >> 27U)) * 0x94d049bb133111ebU;
    return out ^ (out >> 31U);
}

} // namespace waxwinglb::programs::router
