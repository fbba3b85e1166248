/// The step that loads adapters for waiting requests.
#include "core/load_planning/planning_pass.hpp"

#include <algorithm>
#include <tuple>

namespace waxwinglb::core::load_planning {
namespace {

using common::milliseconds;
using fleet::model_ref;

constexpr milliseconds adapter_time{50}; // one round trip; an adapter itself loads in milliseconds

} // namespace

void planning_pass::load_requested_adapters() {
    std::vector<std::pair<model_ref, demand>> pending_adapters;
    for (const auto& [ref, asked] : demands_)
        if (!ref.adapter.empty() && asked.waiting > 0)
            pending_adapters.emplace_back(ref, asked);
    std::sort(pending_adapters.begin(), pending_adapters.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.priority, a.second.oldest) < std::tie(b.second.priority, b.second.oldest);
    });
    for (const auto& [ref, asked] : pending_adapters)
        load_adapter(ref);
}

void planning_pass::load_adapter(const model_ref& ref) {
    target_state* best = nullptr;
    for (target_state& target : targets_) {
        if (target.adapters.contains(ref) && target.serves && target.running < engine_.slots)
            return; // this target can already serve it
        if (!target.takes_orders || !target.serves || !target.models.contains(ref.model) ||
            target.coming.contains(ref.model))
            continue;
        const bool room = has_adapter_room(target) || idle_adapter(target);
        if (room && (best == nullptr || target.running < best->running))
            best = &target;
    }
    if (best == nullptr)
        return;
    mark_busy(*best, adapter_time);
    if (!has_adapter_room(*best)) {
        orders_.push_back({best->id,
                           false,
                           *idle_adapter(*best),
                           false,
                           "makes room for " + ref.model + "/" + ref.adapter,
                           {}});
        return;
    }
    best->adapters[ref].last_used = now_;
    orders_.push_back({best->id, true, ref, false, "requests wait for it", {}});
}

bool planning_pass::has_adapter_room(const target_state& target) const {
    return static_cast<int>(target.adapters.size()) < engine_.adapter_places;
}

std::optional<model_ref> planning_pass::idle_adapter(const target_state& target) const {
    std::optional<model_ref> best;
    for (const auto& [ref, use] : target.adapters) {
        const auto asked = demands_.find(ref);
        const bool has_waiting_requests = asked != demands_.end() && asked->second.waiting > 0;
        if (use.running > 0 || has_waiting_requests)
            continue;
        if (!best || use.last_used < target.adapters.at(*best).last_used)
            best = ref;
    }
    return best;
}

} // namespace waxwinglb::core::load_planning
