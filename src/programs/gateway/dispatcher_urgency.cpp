// How a dispatcher orders its queue and asks for turns when the gateways share capacity by urgency.
#include "programs/gateway/dispatcher.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {

namespace {

constexpr double ms_per_second = 1'000;

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

std::vector<caller_request_ptr> dispatcher::waiting_by_urgency() const {
    std::vector<caller_request_ptr> requests;
    std::vector<core::dispatch::urgency> needs;
    requests.reserve(waiting_.size());
    needs.reserve(waiting_.size());
    for (const auto& [number, request] : waiting_) {
        requests.push_back(request);
        needs.push_back(need_of(*request));
    }
    std::vector<const core::dispatch::urgency*> listed;
    listed.reserve(needs.size());
    for (const auto& need : needs)
        listed.push_back(&need);
    std::vector<caller_request_ptr> out;
    out.reserve(requests.size());
    for (const std::size_t index : order_.sorted(listed, context_.loop.now()))
        out.push_back(std::move(requests[index]));
    return out;
}

/// A request is sent: its customer has been granted its tokens.
void dispatcher::count_granted(const caller_request& request) {
    if (!turns_->shares_capacity())
        return;
    const auto now = context_.loop.now();
    const bool late_ones_wait = std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
        return need_of(*entry.second).late(now);
    });
    order_.granted(need_of(request), late_ones_wait, now);
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
            turns_->offer(target,
                          {std::max(1, request.prompt_tokens), need_of(request), request.request_id});
    }
}

} // namespace waxwinglb::programs::gateway
