// How a dispatcher orders its queue and asks for turns when the gateways share capacity by urgency.
#include "programs/gateway/dispatcher.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {

namespace {

constexpr double ms_per_second = 1'000;

std::vector<const core::dispatch::urgency*> pointers_to(const std::vector<core::dispatch::urgency>& needs) {
    std::vector<const core::dispatch::urgency*> out;
    out.reserve(needs.size());
    for (const auto& need : needs)
        out.push_back(&need);
    return out;
}

} // namespace

double dispatcher::tokens_per_ms() const {
    return context_.settings.prompt_tokens_per_second / ms_per_second;
}

core::dispatch::urgency dispatcher::need_of(const caller_request& request) const {
    const auto now = context_.loop.now();
    core::dispatch::urgency out;
    out.priority = std::clamp(request.priority, 0, core::dispatch::lowest_priority);
    out.customer = request.customer;
    out.send_by = now + core::dispatch::slack_of(request.arrived, request.route->target_latency,
                                                 request.prompt_tokens, tokens_per_ms(), now);
    out.total_tokens = std::max<std::int64_t>(1, static_cast<std::int64_t>(request.tokens));
    return out;
}

/// By service, since others don't compete for the same targets. The floor for late requests holds where they
/// are sent: in a turn, or at services without turns.
std::vector<caller_request_ptr> dispatcher::waiting_by_urgency() const {
    using floor = core::dispatch::urgency_order::late_floor;
    std::map<std::string, std::vector<caller_request_ptr>> by_service;
    for (const auto& [number, request] : waiting_)
        by_service[request->service].push_back(request);
    std::vector<caller_request_ptr> out;
    out.reserve(waiting_.size());
    for (auto& [service, requests] : by_service) {
        const auto needs = needs_of(requests);
        const bool sent_now = turns_->in_turn() || !uses_prompt_turns(requests.front()->model);
        const auto order = orders_.find(service);
        const core::dispatch::urgency_order none_granted;
        for (const std::size_t index :
             (order == orders_.end() ? none_granted : order->second)
                 .sorted(pointers_to(needs), sent_now ? floor::kept : floor::left_out, context_.loop.now()))
            out.push_back(std::move(requests[index]));
    }
    return out;
}

std::vector<core::dispatch::urgency>
dispatcher::needs_of(const std::vector<caller_request_ptr>& requests) const {
    std::vector<core::dispatch::urgency> out;
    out.reserve(requests.size());
    for (const auto& request : requests)
        out.push_back(need_of(*request));
    return out;
}

/// A request is sent: its customer has been granted its tokens.
void dispatcher::count_granted(const caller_request& request) {
    if (!turns_->shares_capacity())
        return;
    std::vector<caller_request_ptr> others;
    for (const auto& [number, other] : waiting_)
        if (other->service == request.service)
            others.push_back(other);
    const auto needs = needs_of(others);
    orders_[request.service].granted(need_of(request), pointers_to(needs), context_.loop.now());
}

/// Offers the request, which no target takes now, to the targets where a turn of this gateway is queued.
/// Requests are tried in order of urgency: for each target the first one counts.
void dispatcher::offer_turns(const caller_request& request, const candidate_list& holders,
                             dispatch_pass& current_pass) {
    for (const auto& option : holders) {
        const std::string& target = option.target->entry.id;
        const bool usable = option.turn_queued && !request.failed_targets.contains(target) &&
                            option.target->entry.models.contains(request.model.model);
        if (usable && current_pass.offered.insert(target).second)
            turns_->offer(target, {std::max(1, request.prompt_tokens), need_of(request), request.request_id});
    }
}

} // namespace waxwinglb::programs::gateway
