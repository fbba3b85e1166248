#include "core/placement/idle_policy.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::placement {
namespace {

constexpr double decay = 0.97;             // factor on all weights for each new gap
constexpr double prior_weight = 2.0;       // the prior counts as much as this many gaps
constexpr double prior_mean_seconds = 120; // mean of that exponential prior
constexpr double cold_start_weight = 15.0; // idle seconds that cost as much as one second of a waiting caller
constexpr double pressure_weight =
    3.0; // extra cost of an idle second on a full target, relative to an empty one

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Upper edge of a bin in seconds; the last bin has none.
double edge(int bin) {
    return std::ldexp(1.0, bin);
}

double lower_edge(int bin) {
    return bin == 0 ? 0.0 : edge(bin - 1);
}

int bin_of(double gap) {
    if (gap <= 1.0)
        return 0;
    return std::min(static_cast<int>(std::ceil(std::log2(gap))), gap_histogram::bins - 1);
}

/// Fraction of a bin's gaps that are longer than `from`, assuming an even spread over the bin.
double part_above(int bin, double from) {
    const double low = lower_edge(bin);
    const double high = edge(bin);
    return std::clamp((high - from) / (high - low), 0.0, 1.0);
}

} // namespace

void gap_histogram::add(common::duration gap) {
    for (double& count : counts_)
        count *= decay;
    counts_[static_cast<std::size_t>(bin_of(std::max(seconds(gap), 0.0)))] += 1.0;
}

double gap_histogram::weight() const {
    return weight_above(common::duration{});
}

double gap_histogram::weight_above(common::duration idle) const {
    const double from = std::max(seconds(idle), 0.0);
    double sum = 0;
    for (int bin = 0; bin < bins; ++bin)
        sum += counts_[static_cast<std::size_t>(bin)] * part_above(bin, from);
    return sum;
}

double gap_histogram::weight_within(common::duration from, common::duration until) const {
    return std::max(weight_above(from) - weight_above(until), 0.0);
}

double gap_histogram::rate_after(common::duration idle) const {
    const double above = weight_above(idle);
    if (above <= 0)
        return 0;
    const auto horizon = std::max<common::duration>(idle, std::chrono::seconds(10));
    return weight_within(idle, idle + horizon) / above / seconds(horizon);
}

nlohmann::json gap_histogram::encode() const {
    nlohmann::json result = nlohmann::json::array();
    for (const double count : counts_)
        result.push_back(std::round(count * 100) / 100);
    return result;
}

void gap_histogram::decode(const nlohmann::json& value) {
    if (!value.is_array() || value.size() != counts_.size())
        return;
    std::array<double, bins> read{};
    for (std::size_t i = 0; i < read.size(); ++i) {
        if (!value[i].is_number() || value[i].get<double>() < 0)
            return;
        read[i] = value[i].get<double>();
    }
    counts_ = read;
}

common::duration idle_limit(const gap_histogram& gaps, const idle_cost& cost) {
    const double per_second =
        cost.idle_price * (1 + pressure_weight * std::clamp(cost.memory_pressure, 0.0, 1.0));
    const double cold = cold_start_weight * seconds(cost.load_time);
    const double longest = seconds(cost.max_idle);
    const auto survival = [&](double at) {
        const auto idle = std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(at));
        return gaps.weight_above(idle) + prior_weight * std::exp(-at / prior_mean_seconds);
    };
    const double all = survival(0);
    // Expected cost of one gap if the replica is kept for `keep`: the idle time until min(gap, keep), plus a
    // cold start if the gap is longer. The candidates for `keep` are 0 and the bins' upper edges.
    double best_keep = 0;
    double best_cost = cold;
    double idle_cost_so_far = 0;
    double from = 0;
    for (int bin = 0; bin < gap_histogram::bins && from < longest; ++bin) {
        const double until = std::min(edge(bin), longest);
        idle_cost_so_far += per_second * (until - from) * (survival(from) + survival(until)) / 2 / all;
        const double total = idle_cost_so_far + cold * survival(until) / all;
        if (total < best_cost) {
            best_cost = total;
            best_keep = until;
        }
        from = until;
    }
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(best_keep));
}

} // namespace waxwinglb::core::placement
