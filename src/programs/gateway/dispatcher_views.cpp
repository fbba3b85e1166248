// What a dispatcher knows of the targets that it chooses from, and of the demand for models.
#include "programs/gateway/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::time_point;

constexpr double arrival_rate_time_constant_s = 4.0; // time constant of the arrival rates
constexpr double engine_slot_fraction = 0.75; // of an engine's slots in use; a full batch delays first tokens
constexpr int plain_service_queue = 2;        // requests that may queue at a plain service beyond its slots

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

double decay(double sum, duration age) {
    return sum * std::exp(-seconds(age) / arrival_rate_time_constant_s);
}

} // namespace

// ---- targets ---------------------------------------------------------------------------------------

int dispatcher::limit_of(const core::fleet::target& target) const {
    const auto* service = context_.config->find_service(target.entry.service);
    if (service != nullptr && service->engine)
        return std::max(1, static_cast<int>(target.entry.slots * engine_slot_fraction));
    return target.entry.slots + plain_service_queue;
}

int dispatcher::room_of(const core::fleet::target& target) const {
    const auto* service = context_.config->find_service(target.entry.service);
    return service != nullptr && service->engine ? limit_of(target) : target.entry.slots;
}

/// Whether the rate limit of a cold target allows a request. The limit holds for all gateways together: each
/// uses an equal share.
bool dispatcher::has_cold_allowance(const core::fleet::target& target, target_runtime& runtime) {
    const time_point now = context_.loop.now();
    if (now >= target.cold_until)
        return true;
    const auto* service = context_.config->find_service(target.entry.service);
    if (service == nullptr || service->cold_rate <= 0)
        return true;
    const double rate = service->cold_rate / std::max(1, context_.gateway_count);
    runtime.cold_tokens = std::min(1.0, runtime.cold_tokens + rate * seconds(now - runtime.cold_filled_at));
    runtime.cold_filled_at = now;
    return runtime.cold_tokens >= 1;
}

dispatcher::candidate_list dispatcher::candidates(const group_key& group, bool holders_only) {
    const auto& [service, ref] = group;
    candidate_list out;
    for (const auto& [id, target] : context_.directory.targets()) {
        if (target.entry.service != service)
            continue;
        const bool holds =
            ref.model.empty() || target.entry.models.contains(ref.model) || target.coming.contains(ref.model);
        if (holds || !holders_only)
            out.push_back(make_candidate(target, ref));
    }
    return out;
}

core::dispatch::candidate dispatcher::make_candidate(const core::fleet::target& target,
                                                     const core::fleet::model_ref& ref) {
    const time_point now = context_.loop.now();
    const std::string& id = target.entry.id;
    target_runtime& runtime = runtimes_[id];
    core::dispatch::candidate out;
    out.target = &target;
    out.load = runtime.running + peer_load_.at(id);
    out.limit = limit_of(target);
    out.failure_rate = runtime.failure_rate;
    out.unread_tokens = runtime.unread_prompt_tokens;
    out.unread_limit = ref.model.empty() ? 0 : context_.settings.prompt_tokens_at_once;
    out.limited = turns_->is_limited(id);
    out.place_by_turn = turns_->shares_capacity() && uses_prompt_turns(ref);
    if (const auto until = turns_->queued_until(id); until && (out.limited || uses_prompt_turns(ref))) {
        out.turn_queued = true;
        out.turn_at = *until;
    }
    out.reachable = now >= runtime.unreachable_until;
    out.cold_allowance = has_cold_allowance(target, runtime);
    if (const auto missing = runtime.missing_models.find(ref); missing != runtime.missing_models.end())
        out.lacks_model = now < missing->second.until;
    out.near = target.entry.data_centre == context_.settings.data_centre;
    scale_by_speed(out);
    return out;
}

/// Brings one target's entry in a list up to date.
void dispatcher::refresh(candidate_list& list, const std::string& target, const core::fleet::model_ref& ref) {
    for (core::dispatch::candidate& option : list)
        if (option.target->entry.id == target)
            option = make_candidate(*option.target, ref);
}

// ---- demand ----------------------------------------------------------------------------------------

std::map<core::fleet::model_ref, dispatcher::waiting_summary> dispatcher::waiting_by_model() const {
    std::map<core::fleet::model_ref, waiting_summary> out;
    for (const auto& [number, request] : waiting_) {
        if (request->model.model.empty())
            continue;
        waiting_summary& sum = out[request->model];
        sum.service = request->service;
        sum.oldest = sum.count == 0 ? request->arrived : std::min(sum.oldest, request->arrived);
        sum.priority = std::min(sum.priority, request->priority);
        ++sum.count;
    }
    return out;
}

void dispatcher::count_arrival(const caller_request& request) {
    if (request.model.model.empty())
        return;
    arrival_counter& sum = arrivals_[request.model];
    sum.service = request.service;
    sum.sum = decay(sum.sum, context_.loop.now() - sum.updated_at) + 1;
    sum.updated_at = context_.loop.now();
}

std::map<core::fleet::model_ref, dispatcher::arrival_rate> dispatcher::arrival_rates() const {
    std::map<core::fleet::model_ref, arrival_rate> out;
    for (const auto& [ref, sum] : arrivals_)
        out[ref] = {sum.service,
                    decay(sum.sum, context_.loop.now() - sum.updated_at) / arrival_rate_time_constant_s};
    return out;
}

} // namespace waxwinglb::programs::gateway
