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
constexpr milliseconds unsettled_after{30'000}; // an outcome that can't be stored for so long is left open

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

call_table::call_table(router_parts& parts) : parts_(parts), random_state_(std::random_device{}()) {
    id_prefix_ = parts_.context.name + "-" + std::to_string(unix_ms()) + "-";
}

void call_table::run(live_call& call, const actions& todo, time_point now) {
    for (const core::routing::action& one : todo)
        std::visit([&](const auto& what) { carry_out(call, what, now); }, one);
    reschedule(call);
}

void call_table::carry_out(live_call& call, const core::routing::place_action& what, time_point now) {
    if (!what.avoid.empty())
        parts_.metrics.count_retry();
    release_load(call);
    call.avoid = what.avoid;
    call.pause = what.pause;
    call.tries_again = {};
    call.placing_since = now;
    call.cold = false;
    place(call, now);
}

/// Chooses a target from the view, or lets the call wait for one.
void call_table::place(live_call& call, time_point now) {
    if (!call.machine.waits_for_replica() || call.tries_again > now)
        return;
    replica_set_view& view = parts_.views.use(call.service, call.model, now);
    const auto condemned = view.condemned.find(call.fingerprint);
    if (condemned != view.condemned.end() && now < condemned->second)
        return end(call, end_reason::quarantined, std::chrono::ceil<milliseconds>(condemned->second - now),
                   now);
    core::routing::replica_criteria wish;
    wish.adapter = call.from.chat.adapter;
    wish.own_data_centre = parts_.settings.data_centre;
    wish.excluded_data_centres = &parts_.config.data_centres_out();
    wish.avoid = call.avoid;
    wish.random = random();
    const core::routing::replica* chosen =
        view.valid(now) ? core::routing::choose(view.replicas, wish) : nullptr;
    if (chosen != nullptr) {
        parts_.views.stop_waiting(call.service, call.model, call.id);
        if (call.cold)
            parts_.metrics.cold_start(now - call.placing_since);
        call.address = chosen->address;
        return run(call, call.machine.placed(chosen->target, now), now);
    }
    if (view.valid(now) && view.reason != wire::refusal::none)
        return end(call, end_reason::no_replica, std::max(view.retry_after, short_retry), now);
    if (view.valid(now) && tried_all(call, view))
        return place_later(call, now);
    call.cold = call.cold || (view.valid(now) && !call.model.empty());
    parts_.views.wait(view, call.id, {call.customer, call.cost, call.machine.options().deadline}, now);
    if (view.valid(now))
        run(call, call.machine.wait_for_replica(view.estimate_left(now), now), now);
}

bool call_table::tried_all(const live_call& call, const replica_set_view& view) const {
    return std::any_of(view.replicas.begin(), view.replicas.end(), [&](const core::routing::replica& one) {
        return one.ready && call.avoid.contains(one.target);
    });
}

/// Every target has refused or failed: they are tried again after a pause, if the deadline leaves time for
/// it.
void call_table::place_later(live_call& call, time_point now) {
    if (call.tries_again > now)
        return;
    call.tries_again = now + call.pause;
    call.avoid.clear();
    pauses_.insert({call.tries_again, call.id});
    run(call, call.machine.wait_for_replica(call.pause, now), now);
}

void call_table::carry_out(live_call& call, const core::routing::claim_action& what, time_point now) {
    (void)what;
    call.claim.__set_attempt(1);
    call.claim.__set_target(call.machine.target());
    call.claim.__set_address(call.address);
    call.claim.__set_state("running");
    call.claim.__set_expires_unix_ms(unix_ms() +
                                     core::common::to_wire_ms(call.machine.options().deadline - now));
    parts_.claims.ask(call.id, call.claim, call.machine.options().deadline, now);
}

void call_table::claimed(call_id id, const wire::claim_result& result, time_point now) {
    live_call* call = find(id);
    if (call == nullptr || !call->machine.waits_for_claim() || result.key != call->claim.key)
        return;
    const bool own = result.existing.request_id == call->claim.request_id;
    const bool granted = result.granted || (own && result.existing.state == "running");
    if (!granted && result.reason == wire::refusal::not_holder)
        return; // asked again at the next tick, by then of the holder
    parts_.claims.stop_asking(id);
    if (granted) {
        call->claim_granted = true;
        return run(*call, call->machine.claim_granted(now), now);
    }
    const milliseconds wait{std::max<std::int64_t>(result.retry_after_ms, 0)};
    if (result.mismatch)
        return end(*call, end_reason::body_mismatch, {}, now);
    const bool done = result.existing.state == "done";
    const bool has_body = !result.existing.answer.empty() || result.existing.content_type.empty();
    if (done && has_body) {
        core::routing::ending kept;
        kept.reason = end_reason::kept_answer;
        kept.ran = core::routing::run_state::run;
        kept.status = result.existing.status;
        kept.body = result.existing.answer;
        kept.headers.push_back({"content-type", result.existing.content_type});
        return run(*call, call->machine.end(std::move(kept), now), now);
    }
    if (done || (result.existing.state == "running" && unix_ms() < result.existing.expires_unix_ms)) {
        call->claim = result.existing;
        call->address = result.existing.address;
        by_request_.emplace(result.existing.request_id, id);
        return run(*call,
                   call->machine.collect(result.existing.request_id, result.existing.attempt, done, now),
                   now);
    }
    if (result.existing.state == "running" || result.existing.state == "unknown") {
        core::routing::ending unknown;
        unknown.reason = end_reason::outcome_unknown;
        unknown.ran = core::routing::run_state::unknown;
        return run(*call, call->machine.end(std::move(unknown), now), now);
    }
    end(*call, end_reason::store_unavailable, std::max(wait, short_retry), now);
}

void call_table::carry_out(live_call& call, const core::routing::connect_action& what, time_point now) {
    (void)what;
    if (parts_.agents.want(call.address, now))
        run(call, call.machine.link_ready(parts_.agents.boot_of(call.address), now), now);
}

void call_table::carry_out(live_call& call, const core::routing::run_action& what, time_point now) {
    const edge::http_request& http = call.from.exchange->request();
    const bool chat = call.from.kind == arrival_kind::chat;
    wire::run_request request;
    request.__set_request_id(call.machine.options().request_id);
    request.__set_attempt(what.attempt);
    request.__set_customer(call.customer);
    request.__set_service_name(call.service);
    request.__set_model(call.model);
    request.__set_adapter(call.from.chat.adapter);
    request.__set_remaining_ms(core::common::to_wire_ms(call.machine.options().deadline - now));
    request.__set_priority(call.from.chat.priority);
    request.__set_repeatable(call.machine.options().repeatable);
    request.__set_prompt_tokens(call.from.chat.prompt_tokens);
    request.__set_max_tokens(call.from.chat.max_tokens);
    request.__set_method(http.method);
    request.__set_path(chat ? http.path : call.from.path);
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
    request.__set_isolate(what.isolate);
    request.__set_stream(call.machine.options().streamed);
    request.__set_weight(call.weight);
    parts_.agents.send(call.address, wire::message_kind::run_request, call.id, request);
    parts_.views.count_sent(call.service, call.model, call.machine.target(), 1);
    call.load_on = call.machine.target();
    parts_.context.timeline.add(edge::event_kind::attempt, call.machine.options().request_id,
                                "attempt " + std::to_string(what.attempt) + " sent to " +
                                    call.machine.target());
}

void call_table::carry_out(live_call& call, const core::routing::resume_action& what, time_point now) {
    (void)now;
    wire::resume_request request;
    request.__set_request_id(what.request_id);
    request.__set_attempt(what.attempt);
    request.__set_offset(what.offset);
    parts_.agents.send(call.address, wire::message_kind::resume_request, call.id, request);
}

void call_table::carry_out(live_call& call, const core::routing::cancel_action& what, time_point now) {
    (void)now;
    wire::cancel_request request;
    request.__set_request_id(call.machine.options().request_id);
    request.__set_attempt(what.attempt);
    request.__set_agent_boot(what.agent_boot);
    parts_.agents.send(call.address, wire::message_kind::cancel_request, call.id, request);
}

/// The agent of a claimed call keeps its answer until the claim's outcome is stored.
void call_table::carry_out(live_call& call, const core::routing::acknowledge_action& what, time_point now) {
    (void)now;
    if (!call.claim.key.empty())
        return;
    wire::ack_request request;
    request.__set_request_id(what.request_id);
    request.__set_attempt(what.attempt);
    parts_.agents.send(call.address, wire::message_kind::ack_request, call.id, request);
}

void call_table::carry_out(live_call& call, const core::routing::finish_action& what, time_point now) {
    call.ended = true;
    ended_.push_back(call.id);
    release_load(call);
    parts_.rates.stop_waiting(call.customer, call.id);
    parts_.views.stop_waiting(call.service, call.model, call.id);
    parts_.claims.stop_asking(call.id);
    if (!what.end.body.empty())
        note_first_byte(call, now);
    answer(call, what.end);
    settle_rate(call, what.end, now);
    settle_claim(call, what.end, now);
    count(call, what.end);
}

void call_table::settle_rate(live_call& call, const core::routing::ending& end, time_point now) {
    if (!call.reserved)
        return;
    std::int64_t used = call.cost; // what is not known counts as spent
    if (end.ran == core::routing::run_state::not_run || end.reason == end_reason::kept_answer ||
        call.machine.collecting())
        used = 0;
    else if (end.used_tokens >= 0 && !call.model.empty())
        used = std::min(call.cost, std::max<std::int64_t>(1, end.used_tokens));
    parts_.rates.settle(call.customer, call.reservation, used, now);
}

void call_table::settle_claim(live_call& call, const core::routing::ending& end, time_point now) {
    using core::claims::max_kept_answer; // larger answers are told as done without body
    if (call.claim.key.empty() || end.reason == end_reason::kept_answer)
        return;
    const bool collected = call.machine.collecting() && end.reason == end_reason::completed;
    if (call.machine.collecting() && !collected)
        return; // the claim is another call's
    kept_answer kept;
    if (end.reason == end_reason::completed) {
        call.claim.__set_state("done");
        call.claim.__set_status(end.status);
        const bool kept_whole = end.body.size() <= max_kept_answer;
        call.claim.__set_answer(kept_whole ? end.body : std::string{});
        for (const core::routing::answer_field& field : end.headers)
            if (field.name == "content-type")
                call.claim.__set_content_type(field.value);
        if (kept_whole)
            kept.address = call.address; // else the agent alone has the answer: it isn't told to drop it
        kept.ack.__set_request_id(call.claim.request_id);
        kept.ack.__set_attempt(collected ? call.claim.attempt : call.machine.attempt());
    } else if (end.ran == core::routing::run_state::not_run) {
        // Also if the claim's answer never came: it may be stored all the same.
        if (end.reason == end_reason::body_mismatch)
            return;
        call.claim.__set_state("not_run");
    } else if (end.reason == end_reason::target_failed) {
        call.claim.__set_state("unknown"); // ended, and nobody has an answer
    } else {
        return; // still running as far as anybody knows; a repeat may collect the answer from the agent
    }
    parts_.claims.settle(call.claim, kept, now + unsettled_after, now);
}

void call_table::count(live_call& call, const core::routing::ending& end) {
    const char* code = core::routing::code_of(end.reason);
    parts_.metrics.count_end(call.service, code);
    const bool served = end.reason == end_reason::completed || end.reason == end_reason::kept_answer;
    if (!served)
        parts_.metrics.count_refusal(code, end.reason != end_reason::rate_limited);
    parts_.context.timeline.add(edge::event_kind::request, call.machine.options().request_id,
                                std::string("ended: ") + code);
}

void call_table::end(live_call& call, end_reason why, milliseconds retry_after, time_point now) {
    core::routing::ending ending;
    ending.reason = why;
    ending.retry_after = retry_after;
    run(call, call.machine.end(std::move(ending), now), now);
}

void call_table::agent_opened(const std::string& address, time_point now) {
    for (auto& [id, call] : calls_)
        if (!call->ended && call->address == address)
            run(*call, call->machine.link_ready(parts_.agents.boot_of(address), now), now);
    bury();
}

void call_table::agent_closed(const std::string& address, time_point now) {
    for (auto& [id, call] : calls_)
        if (!call->ended && call->address == address)
            run(*call, call->machine.link_lost(now), now);
    bury();
}

void call_table::view_updated(const wire::replica_view& pushed, time_point now) {
    for (const call_id id : parts_.views.updated(pushed, now))
        if (live_call* call = find(id))
            place(*call, now);
    bury();
}

void call_table::rates_changed(time_point now) {
    for (const call_id id : parts_.rates.take_ready())
        if (live_call* call = find(id))
            reserve(*call, now);
    bury();
}

void call_table::config_applied(time_point now) {
    end_keyed(end_reason::key_withdrawn, true, now);
    bury();
}

void call_table::end_keyed(end_reason why, bool withdrawn_only, time_point now) {
    const auto& state = parts_.config.state();
    for (auto& [id, call] : calls_) {
        if (call->ended || call->key_id.empty())
            continue;
        const bool granted = core::keys::still_granted(state, call->key_id, call->customer) &&
                             state.keys.at(call->key_id).digest == call->key_digest;
        if (withdrawn_only && granted)
            continue;
        run(*call, call->machine.abandon(why, now), now);
    }
}

void call_table::tick(time_point now) {
    const bool fresh = parts_.config.fresh(now);
    if (was_fresh_ && !fresh) {
        log_->warn("The configuration is no longer fresh; requests with keys end.");
        end_keyed(end_reason::not_fresh, false, now);
    }
    was_fresh_ = fresh;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const call_id id = timers_.begin()->second;
        timers_.erase(timers_.begin());
        live_call* call = find(id);
        if (call == nullptr)
            continue;
        call->wakes = {};
        run(*call, call->machine.tick(now), now);
    }
    while (!pauses_.empty() && pauses_.begin()->first <= now) {
        const call_id id = pauses_.begin()->second;
        pauses_.erase(pauses_.begin());
        if (live_call* call = find(id))
            place(*call, now);
    }
    bury();
    parts_.metrics.open_requests(calls_.size());
}

time_point call_table::next_wake() const {
    return timers_.empty() ? time_point::max() : timers_.begin()->first;
}

void call_table::reschedule(live_call& call) {
    const time_point next = call.ended ? time_point{} : call.machine.next_wake();
    if (next == call.wakes)
        return;
    if (call.wakes != time_point{})
        timers_.erase({call.wakes, call.id});
    call.wakes = next;
    if (next != time_point{})
        timers_.insert({next, call.id});
}

void call_table::bury() {
    for (const call_id id : ended_) {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            continue;
        const live_call& call = *found->second;
        if (call.wakes != time_point{})
            timers_.erase({call.wakes, id});
        for (const std::string& name : {call.machine.options().request_id, call.claim.request_id}) {
            const auto [first, last] = by_request_.equal_range(name);
            for (auto next = first; next != last;)
                next = next->second == id ? by_request_.erase(next) : std::next(next);
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
    if (!call.load_on)
        return;
    parts_.views.count_sent(call.service, call.model, *call.load_on, -1);
    call.load_on.reset();
}

core::retries::token_bucket_budget& call_table::retry_budget(const std::string& customer,
                                                             const std::string& service) {
    return budgets_[customer + "/" + service];
}

/// SplitMix64: spreads choices, nothing secret hangs on it.
std::uint64_t call_table::random() {
    random_state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t out = random_state_;
    out = (out ^ (out >> 30U)) * 0xbf58476d1ce4e5b9U;
    out = (out ^ (out >> 27U)) * 0x94d049bb133111ebU;
    return out ^ (out >> 31U);
}

} // namespace waxwinglb::programs::router
