#include "core/dispatch/wait_policy.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

constexpr milliseconds missing_target_wait{500}; // a restarting service may be back within this time
constexpr milliseconds min_retry_after{200};
constexpr milliseconds max_retry_after{10'000};
constexpr milliseconds retry_spread_step{25}; // between the retries of requests refused together
constexpr int retry_spread_steps = 16;
constexpr int answer_share_tenths = 4; // tenths of the time from arrival to deadline that the answer needs

/// Latest time at which a request can be sent and still be answered before its deadline.
time_point latest_start(const wait_context& context) {
    return context.deadline - (context.deadline - context.arrived) * answer_share_tenths / 10;
}

time_point wait_limit(obstacle reason, const wait_context& context) {
    const duration aim = context.aim;
    switch (reason) {
    case obstacle::other_version: // its caller can begin anew
        return context.since;
    case obstacle::no_target:
    case obstacle::unreachable:
        return context.since + std::min<duration>(aim, missing_target_wait);
    case obstacle::loading:
    case obstacle::reading: // there is room as soon as the target has read a prompt
        return latest_start(context);
    case obstacle::no_model:
    case obstacle::no_adapter:
        return context.since + aim * 3 / 2;
    default:
        return context.since + aim;
    }
}

} // namespace

wait_decision decide_wait(obstacle reason, const wait_context& context, time_point now) {
    const bool needs_model = reason == obstacle::loading || reason == obstacle::no_model;
    const bool too_late = needs_model && context.model_ready && *context.model_ready > latest_start(context);
    const bool is_held = reason == obstacle::paused || reason == obstacle::limited;
    const bool held_too_long = is_held && context.back_at && *context.back_at > wait_limit(reason, context);
    wait_decision decision;
    decision.until =
        too_late || held_too_long ? now : std::min(wait_limit(reason, context), context.deadline);
    duration room = context.aim / 2;
    if (needs_model && context.model_ready)
        room = std::max(room, *context.model_ready - now);
    duration longest = max_retry_after;
    if (is_held && context.back_at) {
        room = std::max(room, *context.back_at - now);
        longest = std::max(longest, room); // the target named the time, or the rate, itself
    }
    decision.retry_after = std::clamp<duration>(room, min_retry_after, longest) +
                           retry_spread_step * static_cast<int>(context.number % retry_spread_steps);
    return decision;
}

std::optional<time_point> earliest_ready(std::span<const candidate> candidates,
                                         const fleet::model_spec& model, time_point now) {
    std::optional<time_point> best;
    const auto consider = [&](time_point at) { best = best ? std::min(*best, at) : at; };
    for (const candidate& option : candidates) {
        const fleet::target& target = *option.target;
        if (target.leaving())
            continue;
        const auto has = [&](const std::vector<std::string>& copies) {
            return std::find(copies.begin(), copies.end(), model.name) != copies.end();
        };
        if (const auto load = target.coming.find(model.name); load != target.coming.end())
            consider(std::max(now, load->second));
        else if (has(target.entry.copies_in_memory))
            consider(now + model.memory_load);
        else if (has(target.entry.copies_on_disk))
            consider(now + model.disk_load);
        else
            consider(now + model.store_load);
    }
    return best;
}

} // namespace waxwinglb::core::dispatch
