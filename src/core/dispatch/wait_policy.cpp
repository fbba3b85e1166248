#include "core/dispatch/wait_policy.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

constexpr milliseconds missing_target_wait{500}; // a restarting service may be back within that
constexpr milliseconds least_retry_after{200};
constexpr milliseconds longest_retry_after{10'000};
constexpr milliseconds return_step{25}; // between the returns of those refused together
constexpr int return_steps = 16;
constexpr int answer_tenths = 4; // of a request's whole time that its answer needs

/// Until then a request may begin and still be answered before its deadline.
time_point last_start(const wait_context& facts) {
    return facts.deadline - (facts.deadline - facts.arrived) * answer_tenths / 10;
}

time_point wait_limit(obstacle why, const wait_context& facts) {
    const duration aim = facts.aim;
    switch (why) {
    case obstacle::no_target:
    case obstacle::unreachable:
        return facts.since + std::min<duration>(aim, missing_target_wait);
    case obstacle::loading:
    case obstacle::reading: // a place comes as soon as a prompt is read
        return last_start(facts);
    case obstacle::no_model:
    case obstacle::no_adapter:
        return facts.since + aim * 3 / 2;
    default:
        return facts.since + aim;
    }
}

} // namespace

wait_decision decide_wait(obstacle why, const wait_context& facts, time_point now) {
    const bool needs_model = why == obstacle::loading || why == obstacle::no_model;
    const bool too_late = needs_model && facts.model_ready && *facts.model_ready > last_start(facts);
    wait_decision out;
    out.until = too_late ? now : std::min(wait_limit(why, facts), facts.deadline);
    duration room = facts.aim / 2;
    if (needs_model && facts.model_ready)
        room = std::max(room, *facts.model_ready - now);
    out.retry_after = std::clamp<duration>(room, least_retry_after, longest_retry_after) +
                      return_step * static_cast<int>(facts.number % return_steps);
    return out;
}

std::optional<time_point> earliest_ready(std::span<const candidate> candidates,
                                         const fleet::model_spec& model, time_point now) {
    std::optional<time_point> best;
    const auto offer = [&](time_point at) { best = best ? std::min(*best, at) : at; };
    for (const candidate& one : candidates) {
        const fleet::target& target = *one.target;
        if (target.leaving())
            continue;
        const auto has = [&](const std::vector<std::string>& copies) {
            return std::find(copies.begin(), copies.end(), model.name) != copies.end();
        };
        if (const auto coming = target.coming.find(model.name); coming != target.coming.end())
            offer(std::max(now, coming->second));
        else if (has(target.entry.copies_in_memory))
            offer(now + model.memory_load);
        else if (has(target.entry.copies_on_disk))
            offer(now + model.disk_load);
        else
            offer(now + model.store_load);
    }
    return best;
}

} // namespace waxwinglb::core::dispatch
