#include "core/dispatch/request_target_choice.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {
namespace {

using common::time_point;

constexpr double failure_weight = 3.0;  // added to the fullness of a target whose answers all fail
constexpr double far_weight = 0.02;     // added for another data centre: mild preference for the own one
constexpr double reading_weight = 0.1;  // added in full when unread prompts reach their limit
constexpr double affinity_slack = 0.06; // a session's own target may be this much fuller than the best

enum class fit { fits, wrong_model, wrong_adapter, loading };

fit model_fit(const fleet::target& target, const fleet::model_ref& requested) {
    if (requested.model.empty())
        return fit::fits;
    const auto loaded = target.entry.models.find(requested.model);
    if (loaded == target.entry.models.end())
        return target.coming.contains(requested.model) ? fit::loading : fit::wrong_model;
    if (requested.adapter.empty())
        return fit::fits;
    const auto& adapters = loaded->second;
    return std::find(adapters.begin(), adapters.end(), requested.adapter) != adapters.end()
               ? fit::fits
               : fit::wrong_adapter;
}

double fullness(const candidate& option) {
    return static_cast<double>(option.load) / static_cast<double>(std::max(1, option.limit)) +
           failure_weight * option.failure_rate + (option.near ? 0 : far_weight) +
           reading_weight * option.unread_tokens / std::max(1, option.unread_limit);
}

/// True if the prompt would exceed the limit on unread prompts. A target reads prompts between the steps of
/// its batch, so too many at once delay the tokens of all its streams. A target with none to read takes any
/// prompt.
bool exceeds_unread_limit(const candidate& option, int prompt_tokens) {
    return option.unread_limit > 0 && option.unread_tokens > 0 &&
           option.unread_tokens + prompt_tokens > option.unread_limit;
}

std::uint64_t affinity(const candidate& option, std::uint64_t session) {
    return common::hash_of(option.target->entry.id, session);
}

/// Why this target can't take the request; obstacle::none if it can.
obstacle check(const candidate& option, const target_criteria& criteria, common::time_point now) {
    const fleet::target& target = *option.target;
    const bool tried = criteria.tried != nullptr && criteria.tried->contains(target.entry.id);
    const bool excluded =
        criteria.centres_out != nullptr && criteria.centres_out->contains(target.entry.data_centre);
    const bool other_version =
        criteria.software_version != nullptr && target.entry.software_version != *criteria.software_version;
    const bool barred =
        other_version || (criteria.only != nullptr && !criteria.only->contains(target.entry.id));
    if (target.leaving() || tried || barred || excluded || (target.gone_at && now >= *target.gone_at))
        return obstacle::no_target;
    switch (model_fit(target, criteria.model)) {
    case fit::wrong_model:
        return obstacle::no_model;
    case fit::loading:
        return obstacle::loading;
    case fit::wrong_adapter:
        return obstacle::no_adapter;
    case fit::fits:
        break;
    }
    if (option.lacks_model)
        return obstacle::loading;
    if (!option.reachable)
        return obstacle::unreachable;
    if (target.paused(now))
        return obstacle::paused;
    if (option.limited && option.turn_queued)
        return obstacle::limited;
    if (!option.cold_allowance)
        return obstacle::cold;
    const bool may_ask = option.place_by_turn && !option.turn_queued;
    if (option.load >= option.limit && !may_ask)
        return obstacle::full;
    return option.turn_queued || exceeds_unread_limit(option, criteria.prompt_tokens) ? obstacle::reading
                                                                                      : obstacle::none;
}

} // namespace

const char* name_of(obstacle reason) {
    switch (reason) {
    case obstacle::none:
        return "none";
    case obstacle::reading:
        return "reading";
    case obstacle::full:
        return "full";
    case obstacle::cold:
        return "cold";
    case obstacle::limited:
        return "limited";
    case obstacle::paused:
        return "paused";
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

time_point back_at(const candidate& option, obstacle why) {
    return why == obstacle::limited ? option.turn_at : option.target->pause->until;
}

choice choose(std::span<const candidate> candidates, const target_criteria& criteria,
              common::time_point now) {
    choice result;
    std::vector<const candidate*> usable;
    for (const candidate& option : candidates) {
        const obstacle reason = check(option, criteria, now);
        if (reason == obstacle::none) {
            usable.push_back(&option);
            continue;
        }
        if (reason > result.why)
            continue;
        const bool is_milder = reason < result.why;
        result.why = reason;
        if (reason != obstacle::limited && reason != obstacle::paused)
            result.first_back = nullptr;
        else if (is_milder || result.first_back == nullptr ||
                 back_at(option, reason) < back_at(*result.first_back, reason))
            result.first_back = &option;
    }
    if (usable.empty())
        return result;
    const candidate* best = *std::min_element(usable.begin(), usable.end(), [](const auto* a, const auto* b) {
        return fullness(*a) < fullness(*b);
    });
    if (criteria.session != 0) {
        const candidate* own =
            *std::max_element(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
                return affinity(*a, criteria.session) < affinity(*b, criteria.session);
            });
        if (fullness(*own) <= fullness(*best) + affinity_slack)
            best = own;
    }
    return {best, obstacle::none};
}

} // namespace waxwinglb::core::dispatch
