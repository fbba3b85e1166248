#include "programs/gateway/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::milliseconds;
using core::common::time_point;
using core::dispatch::obstacle;

constexpr double failure_memory = 0.8;           // weight of what was seen before the newest answer
constexpr milliseconds first_suspicion{300};     // a target that can't be reached is left alone so long
constexpr milliseconds longest_suspicion{2'000}; // doubling up to this
constexpr milliseconds first_absence{150};       // a target that lacks the model is left alone so long for it
constexpr milliseconds longest_absence{1'200};   // doubling up to this
constexpr double arrival_memory_s = 4.0;         // time constant of the arrival rates
constexpr double model_batch_part = 0.75;        // of an engine's slots, so that first tokens stay early
constexpr int plain_queue = 2;                   // requests beyond its slots that a plain service may hold
constexpr milliseconds overdue_check{20};

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

double decay(double sum, duration age) {
    return sum * std::exp(-seconds(age) / arrival_memory_s);
}

} // namespace

void dispatcher::submit(const call_ptr& one) {
    if (one->order == 0) {
        one->order = ++last_order_;
        count_arrival(*one);
    }
    one->target.clear();
    one->waiting_since = {};
    one->hold_until = {};
    waiting_[one->order] = one;
    if (one->not_before > context_.loop.now())
        context_.loop.schedule(one->not_before, [this] { pump_soon(); });
    context_.numbers.waiting.Set(static_cast<double>(waiting_.size()));
    pump();
}

void dispatcher::withdraw(const call_ptr& one) {
    waiting_.erase(one->order);
    context_.numbers.waiting.Set(static_cast<double>(waiting_.size()));
}

void dispatcher::pump_soon() {
    if (pump_planned_ || waiting_.empty())
        return;
    pump_planned_ = true;
    context_.loop.schedule(context_.loop.now(), [this] {
        pump_planned_ = false;
        pump();
    });
}

/// Urgent requests first, those that can still be on time before the others, then by arrival.
std::vector<call_ptr> dispatcher::in_order() const {
    const time_point now = context_.loop.now();
    std::vector<std::pair<order_key, call_ptr>> keyed;
    keyed.reserve(waiting_.size());
    for (const auto& [number, one] : waiting_) {
        const bool late = now > one->arrived + one->route->target_latency;
        keyed.push_back({{late, one->priority, number}, one});
    }
    std::sort(keyed.begin(), keyed.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<call_ptr> out;
    out.reserve(keyed.size());
    for (auto& [key, one] : keyed)
        out.push_back(std::move(one));
    return out;
}

/// Looks for a place for each waiting request, and refuses those that have waited long enough.
void dispatcher::pump() {
    pass state;
    for (const call_ptr& one : in_order())
        if (context_.loop.now() >= one->not_before)
            place_or_wait(one, state);
    for (const auto& [one, why, retry_after] : state.refused) {
        withdraw(one);
        owner_.on_refuse(one, why, retry_after);
    }
    schedule_overdue();
    if (state.new_wait)
        owner_.on_new_wait();
}

void dispatcher::place_or_wait(const call_ptr& one, pass& state) {
    const group_key group{one->service, one->model};
    // What stood in the way of one request stands in the way of all that want the same and were never sent.
    const auto known = state.blocked.find(group);
    if (known != state.blocked.end() && one->sent_to.empty())
        return wait_on(one, known->second, state);
    const auto choice = choose_for(*one, state);
    if (choice.chosen == nullptr) {
        if (one->sent_to.empty())
            state.blocked[group] = choice.why;
        return wait_on(one, choice.why, state);
    }
    const std::string target = choice.chosen->target->entry.id;
    withdraw(one);
    owner_.on_send(one, target);
    state.by_group.clear(); // the loads have changed
}

/// The target to send it to now. A prompt for an engine also needs a turn there: where that is not now,
/// another target is looked for.
core::dispatch::choice dispatcher::choose_for(const call& one, pass& state) {
    const group_key group{one.service, one.model};
    for (;;) {
        auto found = state.by_group.find(group);
        if (found == state.by_group.end())
            found = state.by_group.emplace(group, candidates(one.service, one.model)).first;
        const auto choice = core::dispatch::choose(found->second, wish_of(one), context_.loop.now());
        if (choice.chosen == nullptr || one.model.model.empty())
            return choice;
        const std::string target = choice.chosen->target->entry.id;
        if (turns_->may_send(target, one.prompt_tokens))
            return choice;
        if (!turns_->queued(target))
            return {nullptr, obstacle::reading}; // the keeper's word comes in a moment
        state.by_group.erase(found);
    }
}

void dispatcher::wait_on(const call_ptr& one, obstacle why, pass& state) {
    const time_point now = context_.loop.now();
    const bool first = one->waiting_since == time_point{};
    if (first)
        one->waiting_since = now;
    state.new_wait = state.new_wait || first;
    const auto found = state.by_group.find({one->service, one->model});
    const auto wait_decision =
        patience_of(*one, why, found == state.by_group.end() ? candidate_list{} : found->second);
    one->hold_until = wait_decision.until;
    if (now >= wait_decision.until) {
        state.refused.emplace_back(one, why, wait_decision.retry_after);
        return;
    }
    if (first)
        context_.log.write(edge::events::request_waiting, one->request_id,
                           {{"why", core::dispatch::name_of(why)},
                            {"model", one->model.model},
                            {"adapter", one->model.adapter},
                            {"at_most_ms", core::common::to_wire_ms(wait_decision.until - now)}});
}

core::dispatch::target_criteria dispatcher::wish_of(const call& one) const {
    core::dispatch::target_criteria out;
    out.model = one.model;
    out.session = one.sticky_session;
    out.tried = &one.failed_at;
    out.centres_out = &context_.centres_out;
    out.only = one.attempts_left() ? nullptr : &one.sent_to;
    out.prompt_tokens = one.prompt_tokens;
    return out;
}

core::dispatch::wait_decision dispatcher::patience_of(const call& one, obstacle why,
                                                      const candidate_list& among) const {
    const time_point now = context_.loop.now();
    core::dispatch::wait_context facts{one.waiting_since,         one.arrived,  one.deadline,
                                       one.route->target_latency, std::nullopt, one.order};
    const auto* service = context_.config->find_service(one.service);
    if (service != nullptr && service->engine)
        if (const auto spec = service->engine->models.find(one.model.model);
            spec != service->engine->models.end())
            facts.model_ready = core::dispatch::earliest_ready(among, spec->second, now);
    return core::dispatch::decide_wait(why, facts, now);
}

void dispatcher::refuse_all(duration retry_after) {
    const auto all = waiting_;
    for (const auto& [number, one] : all) {
        withdraw(one);
        owner_.on_refuse(one, obstacle::none, retry_after);
    }
}

/// Looks again when the first waiting request may have waited long enough.
void dispatcher::schedule_overdue() {
    context_.loop.cancel(overdue_timer_);
    if (waiting_.empty())
        return;
    time_point next = time_point::max();
    for (const auto& [number, one] : waiting_)
        next = std::min(next, std::max(one->hold_until, one->not_before));
    next = std::max(next, context_.loop.now() + overdue_check);
    overdue_timer_ = context_.loop.schedule(next, [this] {
        overdue_timer_ = {};
        pump();
    });
}

int dispatcher::limit_of(const core::fleet::target& one) const {
    const auto* service = context_.config->find_service(one.entry.service);
    if (service != nullptr && service->engine)
        return std::max(1, static_cast<int>(one.entry.slots * model_batch_part));
    return one.entry.slots + plain_queue;
}

/// A cold target's rate belongs to all gateways together: each uses an equal part of it.
bool dispatcher::cold_allowance(const core::fleet::target& target, target_runtime& runtime) {
    const time_point now = context_.loop.now();
    if (now >= target.cold_until)
        return true;
    const auto* service = context_.config->find_service(target.entry.service);
    if (service == nullptr || service->cold_rate <= 0)
        return true;
    const double rate = service->cold_rate / std::max(1, context_.members);
    runtime.cold_tokens = std::min(1.0, runtime.cold_tokens + rate * seconds(now - runtime.cold_filled));
    runtime.cold_filled = now;
    return runtime.cold_tokens >= 1;
}

dispatcher::candidate_list dispatcher::candidates(const std::string& service,
                                                  const core::fleet::model_ref& wish) {
    const time_point now = context_.loop.now();
    candidate_list out;
    for (const auto& [id, target] : context_.directory.targets()) {
        if (target.entry.service != service)
            continue;
        target_runtime& runtime = runtimes_[id];
        core::dispatch::candidate one;
        one.target = &target;
        one.load = load_of(id);
        one.limit = limit_of(target);
        one.failure_rate = runtime.failure_rate;
        one.unread_tokens = runtime.reading;
        one.unread_limit = wish.model.empty() ? 0 : context_.settings.prompt_tokens_at_once;
        one.turn_queued = !wish.model.empty() && turns_->queued(id);
        one.reachable = now >= runtime.suspect_until;
        one.cold_allowance = cold_allowance(target, runtime);
        if (const auto absent = runtime.lacking.find(wish); absent != runtime.lacking.end())
            one.lacks_model = now < absent->second.until;
        one.near = target.entry.data_centre == context_.settings.data_centre;
        out.push_back(one);
    }
    return out;
}

void dispatcher::begin(const call_ptr& one, const std::string& target) {
    one->target = target;
    one->sent_at = context_.loop.now();
    target_runtime& runtime = runtimes_[target];
    ++runtime.running;
    runtime.cold_tokens -= 1;
    one->reading = one->model.model.empty() ? 0 : one->prompt_tokens;
    if (!one->model.model.empty())
        turns_->sent(target, one->prompt_tokens);
    runtime.reading += one->reading;
    target_usage& use = usage_[{target, one->model}];
    ++use.running;
    use.last_used = context_.loop.now();
    ++running_;
    context_.numbers.running.Set(static_cast<double>(running_));
}

void dispatcher::began_to_answer(const call_ptr& one) {
    if (one->reading == 0)
        return;
    if (const auto found = runtimes_.find(one->target); found != runtimes_.end())
        found->second.reading -= one->reading;
    one->reading = 0;
    pump_soon();
}

void dispatcher::end(const call_ptr& one, verdict how) {
    if (one->target.empty())
        return;
    began_to_answer(one);
    const time_point now = context_.loop.now();
    const auto found = runtimes_.find(one->target);
    if (const auto use = usage_.find({one->target, one->model}); use != usage_.end()) {
        --use->second.running;
        use->second.last_used = now;
    }
    --running_;
    context_.numbers.running.Set(static_cast<double>(running_));
    const std::string target = std::move(one->target);
    one->target.clear();
    if (found == runtimes_.end())
        return;
    target_runtime& runtime = found->second;
    --runtime.running;
    if (how == verdict::good || how == verdict::failed)
        runtime.failure_rate =
            failure_memory * runtime.failure_rate + (how == verdict::failed ? 1 - failure_memory : 0);
    if (how == verdict::lacks_model) {
        auto& absent = runtime.lacking[one->model];
        absent.pause = std::clamp(absent.pause * 2, first_absence, longest_absence);
        absent.until = now + absent.pause;
        context_.loop.schedule(absent.until, [this] { pump_soon(); });
    }
    if (how == verdict::good)
        runtime.lacking.erase(one->model);
    if (how == verdict::good)
        runtime.suspicion = milliseconds{0};
    if (how == verdict::unreachable) {
        runtime.suspicion = std::clamp(runtime.suspicion * 2, first_suspicion, longest_suspicion);
        runtime.suspect_until = now + runtime.suspicion;
        context_.log.write(edge::events::target_suspected, target, {{"for_ms", runtime.suspicion.count()}});
        context_.loop.schedule(runtime.suspect_until, [this] { pump_soon(); });
    }
    pump_soon();
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
    int sum = own == runtimes_.end() ? 0 : own->second.running;
    for (const auto& [peer, loads] : peer_loads_)
        if (const auto found = loads.find(target); found != loads.end())
            sum += found->second;
    return sum;
}

std::map<std::string, int> dispatcher::own_loads() const {
    std::map<std::string, int> out;
    for (const auto& [target, one] : runtimes_)
        if (one.running > 0)
            out[target] = one.running;
    return out;
}

void dispatcher::forget_missing() {
    const auto missing = [&](const std::string& target) {
        return context_.directory.find(target) == nullptr;
    };
    std::erase_if(runtimes_, [&](const auto& one) { return one.second.running == 0 && missing(one.first); });
    std::erase_if(usage_,
                  [&](const auto& one) { return one.second.running == 0 && missing(one.first.first); });
}

void dispatcher::peer_load(const std::string& peer, std::map<std::string, int> running) {
    peer_loads_[peer] = std::move(running);
    pump_soon();
}

std::map<core::fleet::model_ref, dispatcher::waiting_sum> dispatcher::waiting_by_model() const {
    std::map<core::fleet::model_ref, waiting_sum> out;
    for (const auto& [number, one] : waiting_) {
        if (one->model.model.empty())
            continue;
        waiting_sum& sum = out[one->model];
        sum.service = one->service;
        sum.oldest = sum.count == 0 ? one->arrived : std::min(sum.oldest, one->arrived);
        sum.priority = std::min(sum.priority, one->priority);
        ++sum.count;
    }
    return out;
}

void dispatcher::count_arrival(const call& one) {
    if (one.model.model.empty())
        return;
    arrivals& sum = arrivals_[one.model];
    sum.service = one.service;
    sum.sum = decay(sum.sum, context_.loop.now() - sum.at) + 1;
    sum.at = context_.loop.now();
}

std::map<core::fleet::model_ref, dispatcher::arrival_rate> dispatcher::arrival_rates() const {
    std::map<core::fleet::model_ref, arrival_rate> out;
    for (const auto& [wish, sum] : arrivals_)
        out[wish] = {sum.service, decay(sum.sum, context_.loop.now() - sum.at) / arrival_memory_s};
    return out;
}

} // namespace waxwinglb::programs::gateway
