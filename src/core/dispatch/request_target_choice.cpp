#include "core/dispatch/request_target_choice.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::dispatch {
namespace {

using common::time_point;

constexpr double failure_weight = 3.0;   // added to the fullness of a target whose answers all fail
constexpr double far_weight = 0.02;      // added for another data centre: mild preference for the own one
constexpr double reading_weight = 0.1;   // added in full when unread prompts reach their limit
constexpr double max_unseen_share = 0.1; // of the capacity; then a target's load counts for rare requests too
constexpr double affinity_slack = 0.06;  // a session's own target may be this much fuller than the best

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

double capacity_of(const candidate& option) {
    return option.capacity > 0 ? option.capacity : std::max(1, option.limit);
}

/// Expected time to answer, in units that are the same for all targets of a service. `prompt_tokens`: of the
/// request, if they count.
double cost_of(const candidate& option, int prompt_tokens) {
    return option.load / capacity_of(option) + failure_weight * option.failure_rate +
           (option.near ? 0 : far_weight) +
           reading_weight * (option.unread_tokens + prompt_tokens) / std::max(1, option.unread_limit);
}

/// Spreads a request over the targets below the cost that all would reach if the unseen requests, and this
/// one, went to the cheapest ones: each is chosen as often as it has capacity left below that cost. If each
/// gateway chose the cheapest target, the one that looks best would get the requests of all of them at once.
const candidate* spread_over(std::span<const candidate* const> usable, const target_criteria& criteria) {
    struct weighted {
        const candidate* option;
        double cost;
        double capacity;
    };
    std::vector<weighted> below;
    below.reserve(usable.size());
    double capacity = 0;
    double used = 0; // capacity times cost
    const int prompt_tokens = criteria.prompt_tokens;
    for (const candidate* option : usable) {
        const double cost = cost_of(*option, option->unread_limit > 0 ? prompt_tokens : 0);
        below.push_back({option, cost, capacity_of(*option)});
        capacity += below.back().capacity;
        used += below.back().capacity * cost;
    }
    const double added = 1 + std::min(criteria.spread.unseen, max_unseen_share * capacity);
    double level = (used + added) / capacity;
    for (;
         ;) { // a target above the level takes no part, which lowers the level; ends with one target at least
        const auto above =
            std::partition(below.begin(), below.end(), [&](const weighted& one) { return one.cost < level; });
        if (above == below.end())
            break;
        std::for_each(above, below.end(), [&](const weighted& one) {
            capacity -= one.capacity;
            used -= one.capacity * one.cost;
        });
        below.erase(above, below.end());
        level = (used + added) / capacity;
    }
    // Weighted rendezvous hashing: the chosen one has the lowest -ln(hash)/weight.
    const candidate* best = nullptr;
    double best_rank = 0;
    for (const weighted& one : below) {
        constexpr double hash_range = 18'446'744'073'709'551'616.0; // 2 to the 64th
        const double hash =
            (static_cast<double>(common::hash_of(one.option->target->entry.id, criteria.spread.salt)) + 1) /
            (hash_range + 1'024);
        const double rank = -std::log(hash) / ((level - one.cost) * one.capacity);
        if (best == nullptr || rank < best_rank) {
            best = one.option;
            best_rank = rank;
        }
    }
    return best;
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

/// Newest weights of the model that a target states, for a stream that goes on.
std::optional<std::int64_t> newest_weights_of(std::span<const candidate> candidates,
                                              const target_criteria& criteria) {
    std::optional<std::int64_t> newest;
    if (criteria.begun_at == nullptr || !criteria.begun_at->weights)
        return newest;
    for (const candidate& option : candidates)
        newest = std::max(newest, fleet::version_at(option.target->entry, criteria.model).weights);
    return newest;
}

/// Whether the stream may go on at the target once it has loaded the model: a load fetches the newest
/// weights.
bool may_continue_after_load(const fleet::serving_version& begun_at, const fleet::target& target,
                             const std::optional<std::int64_t>& newest_weights) {
    const bool loads_later_weights = begun_at.weights && newest_weights > begun_at.weights;
    return target.entry.software_version == begun_at.software && !loads_later_weights;
}

/// Why this target can't take the request; obstacle::none if it can.
obstacle check(const candidate& option, const target_criteria& criteria,
               const std::optional<std::int64_t>& newest_weights, common::time_point now) {
    const fleet::target& target = *option.target;
    const bool tried = criteria.tried != nullptr && criteria.tried->contains(target.entry.id);
    const bool excluded =
        criteria.centres_out != nullptr && criteria.centres_out->contains(target.entry.data_centre);
    const bool barred = criteria.only != nullptr && !criteria.only->contains(target.entry.id);
    if (target.leaving() || tried || barred || excluded || (target.gone_at && now >= *target.gone_at))
        return obstacle::no_target;
    const fit model = model_fit(target, criteria.model);
    if (criteria.begun_at != nullptr) {
        const bool must_load = model == fit::wrong_model || model == fit::loading;
        const bool may_go_on =
            must_load ? may_continue_after_load(*criteria.begun_at, target, newest_weights)
                      : may_continue(*criteria.begun_at, fleet::version_at(target.entry, criteria.model));
        if (!may_go_on)
            return obstacle::other_version;
    }
    switch (model) {
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
    case obstacle::other_version:
        return "other_version";
    case obstacle::no_target:
        return "no_target";
    }
    return "unknown";
}

time_point back_at(const candidate& option, obstacle why) {
    return why == obstacle::limited ? option.turn_at : option.target->pause->until;
}

int scaled_limit(int usual, double speed, int most) {
    return std::clamp(static_cast<int>(std::lround(usual * speed)), 1, std::max(1, most));
}

choice choose(std::span<const candidate> candidates, const target_criteria& criteria,
              common::time_point now) {
    choice result;
    std::vector<const candidate*> usable;
    const auto newest_weights = newest_weights_of(candidates, criteria);
    for (const candidate& option : candidates) {
        const obstacle reason = check(option, criteria, newest_weights, now);
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
    const auto cost = [&](const candidate* option) {
        return cost_of(*option,
                       criteria.spread.active && option->unread_limit > 0 ? criteria.prompt_tokens : 0);
    };
    const candidate* best = *std::min_element(
        usable.begin(), usable.end(), [&](const auto* a, const auto* b) { return cost(a) < cost(b); });
    if (criteria.session != 0) {
        const candidate* own =
            *std::max_element(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
                return affinity(*a, criteria.session) < affinity(*b, criteria.session);
            });
        if (cost(own) <= cost(best) + affinity_slack)
            return {own, obstacle::none};
    }
    if (criteria.spread.active)
        best = spread_over(usable, criteria);
    return {best, obstacle::none};
}

} // namespace waxwinglb::core::dispatch
