#include "core/dispatch/urgency.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace waxwinglb::core::dispatch {
namespace {

using common::duration;
using common::time_point;

constexpr int late_turn_interval = 10; // at least every tenth grant goes to a late request, if one waits

/// A request's place in the order; the lowest goes first.
struct rank {
    bool late = false;
    int priority = 0;
    double start = 0; // tag of fair queuing
    time_point send_by{};
    [[nodiscard]] auto key() const { return std::tuple{late, priority, start, send_by}; }
    friend bool operator<(const rank& a, const rank& b) { return a.key() < b.key(); }
};

std::size_t priority_index(const urgency& one) {
    return static_cast<std::size_t>(std::clamp(one.priority, 0, lowest_priority));
}

double cost_of(const urgency& one) {
    return static_cast<double>(std::max<std::int64_t>(1, one.total_tokens));
}

duration reading_time(int tokens, double tokens_per_ms) {
    if (tokens <= 0 || tokens_per_ms <= 0)
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{tokens / tokens_per_ms});
}

} // namespace

duration slack_of(time_point arrived, duration target_latency, int prompt_tokens, double tokens_per_ms,
                  time_point now) {
    return arrived + target_latency - reading_time(prompt_tokens, tokens_per_ms) - now;
}

bool can_be_answered(time_point deadline, int prompt_tokens, double tokens_per_ms, time_point now) {
    return now + reading_time(prompt_tokens, tokens_per_ms) < deadline;
}

std::size_t urgency_order::first(waiting_list waiting, time_point now) const {
    std::optional<std::size_t> best;
    std::optional<std::size_t> latest; // late for the longest time
    rank best_rank;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        const urgency& one = *waiting[index];
        const bool late = one.late(now);
        if (late && (!latest || one.send_by < waiting[*latest]->send_by))
            latest = index;
        rank own{late, one.priority, 0, one.send_by};
        if (best && std::tuple{own.late, own.priority} > std::tuple{best_rank.late, best_rank.priority})
            continue;
        own.start = tags_of(one).start_of(one.customer);
        if (best && !(own < best_rank))
            continue;
        best = index;
        best_rank = own;
    }
    return late_one_is_due() && latest && !best_rank.late ? *latest : *best;
}

/// Tags each customer's requests as if they were granted one after another: within a customer by slack, those
/// on time before late ones.
std::vector<std::size_t> urgency_order::sorted(waiting_list waiting, late_floor floor, time_point now) const {
    std::vector<std::size_t> out(waiting.size());
    for (std::size_t index = 0; index < out.size(); ++index)
        out[index] = index;
    std::stable_sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) {
        return std::tuple{waiting[a]->late(now), waiting[a]->priority, waiting[a]->send_by} <
               std::tuple{waiting[b]->late(now), waiting[b]->priority, waiting[b]->send_by};
    });
    std::vector<rank> ranks(waiting.size());
    std::array<std::unordered_map<std::string, double>, lowest_priority + 1> finish;
    for (const std::size_t index : out) {
        const urgency& one = *waiting[index];
        const auto [next, is_first] = finish[priority_index(one)].try_emplace(one.customer, 0.0);
        if (is_first)
            next->second = tags_of(one).start_of(one.customer);
        ranks[index] = {one.late(now), one.priority, next->second, one.send_by};
        next->second += cost_of(one);
    }
    std::stable_sort(out.begin(), out.end(),
                     [&](std::size_t a, std::size_t b) { return ranks[a] < ranks[b]; });
    const auto first_late =
        std::find_if(out.begin(), out.end(), [&](std::size_t index) { return ranks[index].late; });
    if (floor == late_floor::left_out || first_late == out.begin() || first_late == out.end())
        return out;
    std::vector<std::size_t> late(first_late, out.end());
    std::vector<std::size_t> merged;
    merged.reserve(out.size());
    std::stable_sort(late.begin(), late.end(), [&](std::size_t a, std::size_t b) {
        return waiting[a]->send_by < waiting[b]->send_by; // as in first()
    });
    auto next_late = late.begin();
    int passed_over = passed_over_;
    std::vector<bool> placed(waiting.size());
    for (auto on_time = out.begin(); on_time != first_late;) {
        const bool late_due = passed_over >= late_turn_interval - 1 && next_late != late.end();
        passed_over = late_due ? 0 : passed_over + 1;
        merged.push_back(late_due ? *next_late++ : *on_time++);
        placed[merged.back()] = true;
    }
    std::copy_if(first_late, out.end(), std::back_inserter(merged),
                 [&](std::size_t index) { return !placed[index]; });
    return merged;
}

bool urgency_order::precedes(const urgency& before, const urgency& than, time_point now) const {
    const auto rank_of = [&](const urgency& one) {
        return rank{one.late(now), one.priority, tags_of(one).start_of(one.customer), one.send_by};
    };
    return rank_of(before) < rank_of(than);
}

/// Late requests wait behind those on time whatever their tags: the virtual time must not pass the tags of
/// customers that wait, or these would lose what others have had more than they.
void urgency_order::granted(const urgency& one, waiting_list others, time_point now) {
    const bool late_ones_wait =
        std::any_of(others.begin(), others.end(), [&](const urgency* other) { return other->late(now); });
    passed_over_ = one.late(now) || !late_ones_wait ? 0 : passed_over_ + 1;
    fairness::customer_tags& tags = tags_[priority_index(one)];
    double least = tags.charge(one.customer, cost_of(one));
    for (const urgency* other : others)
        if (priority_index(*other) == priority_index(one))
            least = std::min(least, tags.start_of(other->customer));
    tags.advance(least);
}

void urgency_order::returned(const urgency& one) {
    tags_[priority_index(one)].give_back(one.customer, cost_of(one));
}

bool urgency_order::late_one_is_due() const {
    return passed_over_ >= late_turn_interval - 1;
}

const fairness::customer_tags& urgency_order::tags_of(const urgency& one) const {
    return tags_[priority_index(one)];
}

} // namespace waxwinglb::core::dispatch
