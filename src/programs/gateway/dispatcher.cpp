#include "programs/gateway/dispatcher.hpp"

#include "platform/target_notice.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::milliseconds;
using core::common::time_point;
using core::dispatch::obstacle;

constexpr double failure_rate_decay = 0.8;             // weight of earlier answers in a target's failure rate
constexpr milliseconds min_unreachable_backoff{300};   // pause after a failed connection
constexpr milliseconds max_unreachable_backoff{2'000}; // the pause doubles up to this
constexpr milliseconds min_missing_model_backoff{150}; // pause for a model that the target doesn't hold
constexpr milliseconds max_missing_model_backoff{1'200}; // the pause doubles up to this
constexpr milliseconds min_wait_check{20};
constexpr milliseconds peer_update_interval{20}; // between two passes over the queue because of peers' loads

/// Prompt tokens that a turn is for. A plain request counts as one: 0 stands for a turn that was not used.
int turn_size(const caller_request& request) {
    return std::max(1, request.prompt_tokens);
}

} // namespace

void dispatcher::submit(const caller_request_ptr& request) {
    if (request->arrival_number == 0) {
        request->arrival_number = ++last_arrival_number_;
        count_arrival(*request);
    }
    request->target.clear();
    request->waiting_since = {};
    request->wait_until = {};
    waiting_[request->arrival_number] = request;
    if (request->not_before > context_.loop.now())
        context_.loop.schedule(request->not_before, [this] { schedule_dispatch(); });
    context_.metrics.waiting.Set(static_cast<double>(waiting_.size()));
    dispatch_waiting();
}

void dispatcher::withdraw(const caller_request_ptr& request) {
    waiting_.erase(request->arrival_number);
    context_.metrics.waiting.Set(static_cast<double>(waiting_.size()));
}

void dispatcher::schedule_dispatch() {
    if (dispatch_scheduled_ || waiting_.empty())
        return;
    dispatch_scheduled_ = true;
    context_.loop.schedule(context_.loop.now(), [this] {
        dispatch_scheduled_ = false;
        dispatch_waiting();
    });
}

void dispatcher::schedule_dispatch_soon() {
    if (dispatch_soon_ || waiting_.empty())
        return;
    dispatch_soon_ = true;
    context_.loop.schedule(context_.loop.now() + peer_update_interval, [this] {
        dispatch_soon_ = false;
        dispatch_waiting();
    });
}

/// Waiting requests by urgency: those that can still meet their route's target latency first, then by
/// priority, then by arrival.
std::vector<caller_request_ptr> dispatcher::waiting_in_order() const {
    if (turns_->shares_capacity())
        return waiting_by_urgency();
    const time_point now = context_.loop.now();
    std::vector<std::pair<priority_key, caller_request_ptr>> keyed;
    keyed.reserve(waiting_.size());
    for (const auto& [number, request] : waiting_) {
        const bool late = now > request->arrived + request->route->target_latency;
        keyed.push_back({{late, request->priority, number}, request});
    }
    std::sort(keyed.begin(), keyed.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<caller_request_ptr> out;
    out.reserve(keyed.size());
    for (auto& [key, request] : keyed)
        out.push_back(std::move(request));
    return out;
}

/// Tries to send each waiting request and refuses those whose wait limit has passed.
void dispatcher::dispatch_waiting() {
    dispatch_pass current_pass;
    for (const caller_request_ptr& request : waiting_in_order()) {
        const bool still_waits = waiting_.contains(request->arrival_number); // sending one may start a pass
        if (still_waits && context_.loop.now() >= request->not_before)
            try_dispatch(request, current_pass);
    }
    for (const auto& [request, why, retry_after] : current_pass.refused) {
        withdraw(request);
        callbacks_.on_refuse(request, why, retry_after);
    }
    schedule_wait_check();
    if (current_pass.new_wait)
        callbacks_.on_new_wait();
}

void dispatcher::try_dispatch(const caller_request_ptr& request, dispatch_pass& current_pass) {
    const group_key group{request->service, request->model};
    // An obstacle for one request applies to all others of its group that may go to the same targets.
    const bool may_go_anywhere = request->sent_to.empty() && !request->begun_at;
    const auto known = current_pass.blocked.find(group);
    if (known != current_pass.blocked.end() && may_go_anywhere)
        return keep_waiting(request, known->second, current_pass);
    const auto choice = choose_target(*request, current_pass);
    if (choice.chosen == nullptr) {
        if (may_go_anywhere)
            current_pass.blocked[group] = choice;
        return keep_waiting(request, choice, current_pass);
    }
    const std::string target = choice.chosen->target->entry.id;
    withdraw(request);
    callbacks_.on_send(request, target);
    for (auto* lists : {&current_pass.holders, &current_pass.all}) // its load has changed
        for (auto& [other, list] : *lists)
            refresh(list, target, other.second);
}

/// Chooses the target to send the request to now. A prompt for an engine also needs a turn there; if the turn
/// is queued, another target is tried.
core::dispatch::choice dispatcher::choose_target(const caller_request& request, dispatch_pass& current_pass) {
    const group_key group{request.service, request.model};
    const auto list = [&](std::map<group_key, candidate_list>& known, bool holders_only) -> candidate_list& {
        auto found = known.find(group);
        if (found == known.end())
            found = known.emplace(group, candidates(group, holders_only)).first;
        return found->second;
    };
    for (;;) {
        candidate_list& holders = list(current_pass.holders, true);
        auto choice = core::dispatch::choose(holders, criteria_for(request), context_.loop.now());
        // The others can't take it, but tell why, and when a load could be ready.
        if (choice.chosen == nullptr && choice.why >= obstacle::no_adapter)
            choice = core::dispatch::choose(list(current_pass.all, false), criteria_for(request),
                                            context_.loop.now());
        if (choice.chosen == nullptr && turns_->shares_capacity())
            offer_turns(request, holders, current_pass);
        if (choice.chosen == nullptr || !(choice.chosen->limited || uses_prompt_turns(request.model)))
            return choice;
        const std::string target = choice.chosen->target->entry.id;
        if (turns_->may_send(target, {turn_size(request), need_of(request), request.request_id}))
            return choice;
        if (!turns_->queued_until(target)) // the scheduler's answer arrives shortly
            return {nullptr, choice.chosen->limited ? obstacle::limited : obstacle::reading, nullptr};
        refresh(holders, target, request.model);
    }
}

void dispatcher::keep_waiting(const caller_request_ptr& request, const core::dispatch::choice& blocked,
                              dispatch_pass& current_pass) {
    const obstacle why = blocked.why;
    const time_point now = context_.loop.now();
    const bool first = request->waiting_since == time_point{};
    if (first)
        request->waiting_since = now;
    current_pass.new_wait = current_pass.new_wait || first;
    const auto found = current_pass.all.find({request->service, request->model});
    const auto wait_limit =
        wait_limit_for(*request, blocked, found == current_pass.all.end() ? candidate_list{} : found->second);
    request->wait_until = wait_limit.until;
    request->blocked_by = describe(blocked);
    const bool hopeless =
        turns_->shares_capacity() &&
        !core::dispatch::can_be_answered(request->deadline, request->prompt_tokens, tokens_per_ms(), now);
    if (now >= wait_limit.until || hopeless) {
        current_pass.refused.emplace_back(request, why, wait_limit.retry_after);
        return;
    }
    if (first)
        context_.log.write(edge::events::request_waiting, request->request_id,
                           {{"why", core::dispatch::name_of(why)},
                            {"model", request->model.model},
                            {"adapter", request->model.adapter},
                            {"blocked_by", request->blocked_by},
                            {"at_most_ms", core::common::to_wire_ms(wait_limit.until - now)}});
}

core::dispatch::target_criteria dispatcher::criteria_for(const caller_request& request) const {
    core::dispatch::target_criteria out;
    out.model = request.model;
    out.session = request.sticky_session;
    out.tried = &request.failed_targets;
    out.centres_out = &context_.centres.out();
    out.only = request.has_attempts_left() ? nullptr : &request.sent_to;
    out.prompt_tokens = request.prompt_tokens;
    out.begun_at = request.begun_at ? &*request.begun_at : nullptr;
    out.spread = spread_for(request);
    return out;
}

core::dispatch::wait_decision dispatcher::wait_limit_for(const caller_request& request,
                                                         const core::dispatch::choice& blocked,
                                                         const candidate_list& among) const {
    const time_point now = context_.loop.now();
    core::dispatch::wait_context facts{request.waiting_since,         request.arrived, request.deadline,
                                       request.route->target_latency, std::nullopt,    std::nullopt,
                                       request.arrival_number};
    if (blocked.first_back != nullptr)
        facts.back_at = core::dispatch::back_at(*blocked.first_back, blocked.why);
    const auto* service = context_.config->find_service(request.service);
    if (service != nullptr && service->engine)
        if (const auto spec = service->engine->models.find(request.model.model);
            spec != service->engine->models.end())
            facts.model_ready = core::dispatch::earliest_ready(among, spec->second, now);
    return core::dispatch::decide_wait(blocked.why, facts, now);
}

/// The targets' own words that decided, with their age; empty if none did.
std::string dispatcher::describe(const core::dispatch::choice& blocked) const {
    if (blocked.first_back == nullptr)
        return {};
    const core::fleet::target& target = *blocked.first_back->target;
    const auto now = context_.loop.now();
    if (blocked.why == obstacle::limited)
        return target.entry.id + " limited to " +
               std::to_string(turns_->limit_of(target.entry.id).value_or(0)) + " requests/s, turn in " +
               std::to_string(core::common::to_wire_ms(blocked.first_back->turn_at - now)) + " ms";
    return target.entry.id + " paused " +
           std::to_string(core::common::to_wire_ms(now - target.pause->since)) + " ms ago, for " +
           std::to_string(core::common::to_wire_ms(target.pause->until - now)) + " ms more";
}

duration dispatcher::retry_after_for(const caller_request& request) {
    const auto among = candidates({request.service, request.model}, false);
    const auto blocked = core::dispatch::choose(among, criteria_for(request), context_.loop.now());
    return wait_limit_for(request, blocked, among).retry_after;
}

bool dispatcher::has_room_for(const caller_request& request) {
    const auto among = candidates({request.service, request.model}, true);
    return core::dispatch::choose(among, criteria_for(request), context_.loop.now()).chosen != nullptr;
}

void dispatcher::note_answer(const core::fleet::target_start& from, int status,
                             std::span<const edge::http_field> fields, answered_call call) {
    const auto notice = platform::decode_notice(status, fields);
    const time_point now = context_.loop.now();
    if (!notice.not_understood.empty())
        context_.log.write(edge::events::target_notice_ignored, from.id,
                           {{"born", from.born}, {"status", status}, {"fields", notice.not_understood}});
    note_load(from, notice);
    if (notice.leaving && context_.directory.note_said_leaving(from, now)) {
        context_.log.write(edge::events::target_leaving, from.id, {{"born", from.born}, {"status", status}});
        callbacks_.on_urgent_update();
    }
    if (notice.limit || call == answered_call::request)
        note_limit(from, notice.limit);
    if (!notice.pause)
        return;
    context_.directory.note_pause(from, *notice.pause, now);
    context_.log.write(edge::events::target_paused, from.id,
                       {{"born", from.born}, {"for_ms", notice.pause->count()}});
    context_.loop.schedule(now + *notice.pause, [this] { schedule_dispatch(); });
}

void dispatcher::note_limit(const core::fleet::target_start& from, std::optional<double> per_second) {
    if (!context_.target_limits.note({from, per_second, context_.loop.now()}))
        return;
    log_limit(from, per_second, context_.settings.name);
    callbacks_.on_urgent_update();
    schedule_dispatch();
}

void dispatcher::log_limit(const core::fleet::target_start& from, std::optional<double> per_second,
                           const std::string& source) {
    context_.log.write(edge::events::target_limited, from.id,
                       {{"born", from.born}, {"per_second", per_second.value_or(-1)}, {"source", source}});
}

void dispatcher::refuse_all(duration retry_after) {
    const auto all = waiting_;
    for (const auto& [number, request] : all) {
        withdraw(request);
        callbacks_.on_refuse(request, obstacle::none, retry_after);
    }
}

/// Schedules a pass for the time at which the first waiting request reaches its wait limit.
void dispatcher::schedule_wait_check() {
    context_.loop.cancel(wait_timer_);
    if (waiting_.empty())
        return;
    time_point next = time_point::max();
    for (const auto& [number, request] : waiting_)
        next = std::min(next, std::max(request->wait_until, request->not_before));
    next = std::max(next, context_.loop.now() + min_wait_check);
    wait_timer_ = context_.loop.schedule(next, [this] {
        wait_timer_ = {};
        dispatch_waiting();
    });
}

void dispatcher::begin_attempt(const caller_request_ptr& request, const std::string& target) {
    request->target = target;
    request->sent_at = context_.loop.now();
    target_runtime& runtime = runtimes_[target];
    ++runtime.running;
    runtime.cold_tokens -= 1;
    count_granted(*request);
    request->unread_prompt_tokens = request->model.model.empty() ? 0 : request->prompt_tokens;
    if (uses_prompt_turns(request->model) || turns_->is_limited(target))
        turns_->record_sent(target, turn_size(*request));
    runtime.unread_prompt_tokens += request->unread_prompt_tokens;
    count_send(*request);
    target_usage& use = usage_[{target, request->model}];
    ++use.running;
    use.last_used = context_.loop.now();
    ++running_;
    context_.metrics.running.Set(static_cast<double>(running_));
}

void dispatcher::on_answer_started(const caller_request_ptr& request) {
    if (request->unread_prompt_tokens == 0)
        return;
    if (const auto found = runtimes_.find(request->target); found != runtimes_.end())
        found->second.unread_prompt_tokens -= request->unread_prompt_tokens;
    request->unread_prompt_tokens = 0;
    schedule_dispatch();
}

void dispatcher::end_attempt(const caller_request_ptr& request, attempt_outcome outcome) {
    if (request->target.empty())
        return;
    on_answer_started(request);
    const time_point now = context_.loop.now();
    const auto found = runtimes_.find(request->target);
    if (const auto use = usage_.find({request->target, request->model}); use != usage_.end()) {
        --use->second.running;
        use->second.last_used = now;
    }
    --running_;
    context_.metrics.running.Set(static_cast<double>(running_));
    const std::string target = std::move(request->target);
    request->target.clear();
    if (found == runtimes_.end())
        return;
    target_runtime& runtime = found->second;
    --runtime.running;
    if (outcome == attempt_outcome::succeeded || outcome == attempt_outcome::failed)
        runtime.failure_rate = failure_rate_decay * runtime.failure_rate +
                               (outcome == attempt_outcome::failed ? 1 - failure_rate_decay : 0);
    if (outcome == attempt_outcome::lacks_model) {
        auto& missing = runtime.missing_models[request->model];
        missing.backoff =
            std::clamp(missing.backoff * 2, min_missing_model_backoff, max_missing_model_backoff);
        missing.until = now + missing.backoff;
        context_.loop.schedule(missing.until, [this] { schedule_dispatch(); });
    }
    if (outcome == attempt_outcome::succeeded)
        runtime.missing_models.erase(request->model);
    if (outcome == attempt_outcome::succeeded)
        runtime.unreachable_backoff = milliseconds{0};
    if (outcome == attempt_outcome::unreachable) {
        runtime.unreachable_backoff =
            std::clamp(runtime.unreachable_backoff * 2, min_unreachable_backoff, max_unreachable_backoff);
        runtime.unreachable_until = now + runtime.unreachable_backoff;
        context_.log.write(edge::events::target_suspected, target,
                           {{"for_ms", runtime.unreachable_backoff.count()}});
        context_.loop.schedule(runtime.unreachable_until, [this] { schedule_dispatch(); });
    }
    schedule_dispatch();
}

std::shared_ptr<target_link> dispatcher::link(const std::string& target) {
    const auto* known = context_.directory.find(target);
    if (known == nullptr)
        return nullptr;
    target_runtime& runtime = runtimes_[target];
    if (!runtime.link || runtime.address != known->entry.address) {
        runtime.link = std::make_shared<target_link>(context_.loop, known->entry.address, connections_);
        runtime.address = known->entry.address;
    }
    return runtime.link;
}

int dispatcher::load_of(const std::string& target) const {
    const auto own = runtimes_.find(target);
    return (own == runtimes_.end() ? 0 : own->second.running) + peer_load_.at(target);
}

target_room dispatcher::room_at(const std::string& target) const {
    target_room out;
    out.load = load_of(target);
    if (const auto own = runtimes_.find(target); own != runtimes_.end())
        out.own = own->second.running;
    if (const auto* known = context_.directory.find(target))
        out.limit = limit_of(*known);
    return out;
}

std::map<std::string, int> dispatcher::own_loads() const {
    std::map<std::string, int> out;
    for (const auto& [target, runtime] : runtimes_)
        if (runtime.running > 0)
            out[target] = runtime.running;
    return out;
}

void dispatcher::remove_missing_targets() {
    const auto missing = [&](const std::string& target) {
        return context_.directory.find(target) == nullptr;
    };
    std::erase_if(runtimes_,
                  [&](const auto& entry) { return entry.second.running == 0 && missing(entry.first); });
    std::erase_if(usage_,
                  [&](const auto& entry) { return entry.second.running == 0 && missing(entry.first.first); });
}

void dispatcher::set_peer_load(const std::string& peer, core::dispatch::fleet_load::counts running) {
    peer_load_.set(peer, std::move(running));
    if (turns_ != nullptr)
        turns_->note_report(peer);
    schedule_dispatch_soon();
}

void dispatcher::set_peer_load_at(const std::string& peer, const std::string& target, int running) {
    peer_load_.set_one(peer, target, running);
}

} // namespace waxwinglb::programs::gateway
