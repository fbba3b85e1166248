#include "core/dispatch/request_target_choice.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {
namespace {

constexpr double failure_weight = 3.0;  // a target that fails everything looks three times as full
constexpr double far_weight = 0.02;     // mild preference for the own data centre
constexpr double reading_weight = 0.1;  // a target with all the prompts that it may have looks a tenth fuller
constexpr double affinity_slack = 0.06; // load share that a session's own target may be fuller than the best

enum class fit { fits, wrong_model, wrong_adapter, coming };

fit model_fit(const fleet::target& one, const fleet::model_wish& wanted) {
    if (wanted.model.empty())
        return fit::fits;
    const auto loaded = one.entry.models.find(wanted.model);
    if (loaded == one.entry.models.end())
        return one.coming.contains(wanted.model) ? fit::coming : fit::wrong_model;
    if (wanted.adapter.empty())
        return fit::fits;
    const auto& adapters = loaded->second;
    return std::find(adapters.begin(), adapters.end(), wanted.adapter) != adapters.end() ? fit::fits
                                                                                         : fit::wrong_adapter;
}

double fullness(const candidate& one) {
    return static_cast<double>(one.load) / static_cast<double>(std::max(1, one.limit)) +
           failure_weight * one.failure_rate + (one.near ? 0 : far_weight) +
           reading_weight * one.unread_tokens / std::max(1, one.unread_limit);
}

/// A target reads prompts between the steps of all that it runs: too many at once hold up everybody's tokens.
bool reads_enough(const candidate& one, int prompt_tokens) {
    return one.unread_limit > 0 && one.unread_tokens > 0 &&
           one.unread_tokens + prompt_tokens > one.unread_limit;
}

std::uint64_t affinity(const candidate& one, std::uint64_t session) {
    return common::hash_of(one.target->entry.id, session);
}

/// What keeps this one target from taking the request.
obstacle check(const candidate& one, const target_criteria& what, common::time_point now) {
    const fleet::target& target = *one.target;
    const bool tried = what.tried != nullptr && what.tried->contains(target.entry.id);
    const bool out = what.centres_out != nullptr && what.centres_out->contains(target.entry.data_centre);
    const bool barred = what.only != nullptr && !what.only->contains(target.entry.id);
    if (target.leaving() || tried || barred || out || (target.gone_at && now >= *target.gone_at))
        return obstacle::no_target;
    switch (model_fit(target, what.model)) {
    case fit::wrong_model:
        return obstacle::no_model;
    case fit::coming:
        return obstacle::loading;
    case fit::wrong_adapter:
        return obstacle::no_adapter;
    case fit::fits:
        break;
    }
    if (one.lacks_model)
        return obstacle::loading;
    if (!one.reachable)
        return obstacle::unreachable;
    if (!one.cold_allowance)
        return obstacle::cold;
    if (one.load >= one.limit)
        return obstacle::full;
    return one.turn_queued || reads_enough(one, what.prompt_tokens) ? obstacle::reading : obstacle::none;
}

} // namespace

const char* name_of(obstacle what) {
    switch (what) {
    case obstacle::none:
        return "none";
    case obstacle::reading:
        return "reading";
    case obstacle::full:
        return "full";
    case obstacle::cold:
        return "cold";
    case obstacle::no_adapter:
        return "no_adapter";
    case obstacle::loading:
        return "loading";
    case obstacle::no_model:
        return "no_model";
    case obstacle::unreachable:
        return "unreachable";
    case obstacle::no_target:
        return "no_target";
    }
    return "unknown";
}

choice choose(std::span<const candidate> candidates, const target_criteria& what, common::time_point now) {
    choice out;
    std::vector<const candidate*> usable;
    for (const candidate& one : candidates) {
        const obstacle why = check(one, what, now);
        if (why == obstacle::none)
            usable.push_back(&one);
        else
            out.why = std::min(out.why, why);
    }
    if (usable.empty())
        return out;
    const candidate* best = *std::min_element(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
        return fullness(*a) < fullness(*b);
    });
    if (what.session != 0) {
        const candidate* own =
            *std::max_element(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
                return affinity(*a, what.session) < affinity(*b, what.session);
            });
        if (fullness(*own) <= fullness(*best) + affinity_slack)
            best = own;
    }
    return {best, obstacle::none};
}

} // namespace waxwinglb::core::dispatch
