#include "core/placement/idle_policy.hpp"
#include "programs/experiment/experiments.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace waxwinglb::programs::experiment {
namespace {

using namespace std::chrono_literals;
using core::common::duration;

constexpr int models = 65;
constexpr double day_s = 24 * 3600;
constexpr double awake_mean_s = 2 * 3600;
constexpr double asleep_mean_s = 4 * 3600;
constexpr double load_s = 20;

duration to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Arrival times of one model over the day.
std::vector<double> make_arrivals(std::mt19937_64& random, double per_second) {
    std::vector<double> out;
    std::exponential_distribution<double> awake(1 / awake_mean_s);
    std::exponential_distribution<double> asleep(1 / asleep_mean_s);
    std::exponential_distribution<double> gap(per_second);
    bool is_awake = std::bernoulli_distribution(awake_mean_s / (awake_mean_s + asleep_mean_s))(random);
    for (double at = 0; at < day_s; is_awake = !is_awake) {
        const double end = std::min(at + (is_awake ? awake(random) : asleep(random)), day_s);
        if (is_awake)
            for (double next = at + gap(random); next < end; next += gap(random))
                out.push_back(next);
        at = end;
    }
    return out;
}

using keep_rule = std::function<duration(const core::placement::gap_histogram&)>;

struct totals {
    std::vector<double> waits;
    double cold = 0;
    double idle_hours = 0;
};

void run_model(const std::vector<double>& arrivals, const keep_rule& keep, totals& sums) {
    core::placement::gap_histogram gaps;
    double loaded_until = -1; // if no request comes
    double ready_at = 0;
    double last = -1;
    for (const double at : arrivals) {
        const bool cold = at > loaded_until;
        if (cold)
            ready_at = at + load_s;
        if (last >= 0) {
            const double idle_end = std::min(at, loaded_until);
            sums.idle_hours += std::max(idle_end - last, 0.0) / 3600;
            gaps.add(to_duration(at - last));
        }
        sums.cold += cold ? 1 : 0;
        sums.waits.push_back(std::max(ready_at - at, 0.0));
        last = std::max(at, ready_at);
        loaded_until = last + std::chrono::duration<double>(keep(gaps)).count();
    }
    if (last >= 0)
        sums.idle_hours += std::max(std::min(loaded_until, day_s) - last, 0.0) / 3600;
}

outcome run_policy(const std::string& name, const std::vector<std::vector<double>>& arrivals,
                   const keep_rule& keep) {
    totals sums;
    for (const auto& one : arrivals)
        run_model(one, keep, sums);
    std::sort(sums.waits.begin(), sums.waits.end());
    const auto exact = [&](double part) {
        return sums.waits[static_cast<std::size_t>(part * static_cast<double>(sums.waits.size() - 1))];
    };
    return {name,
            {{"cold starts", sums.cold},
             {"wait p99 s", exact(0.99)},
             {"wait p99.9 s", exact(0.999)},
             {"idle replica hours", sums.idle_hours}}};
}

} // namespace

std::vector<outcome> run_idle(std::uint64_t seed, double requests_per_s) {
    std::mt19937_64 random(seed);
    std::vector<std::vector<double>> arrivals;
    double zipf_sum = 0;
    for (int rank = 1; rank <= models; ++rank)
        zipf_sum += 1.0 / rank;
    for (int rank = 1; rank <= models; ++rank)
        arrivals.push_back(make_arrivals(random, requests_per_s / rank / zipf_sum));
    const auto fixed = [](duration kept) { return [kept](const auto&) { return kept; }; };
    const auto own = [](double price, duration longest) {
        return [price, longest](const core::placement::gap_histogram& gaps) {
            return core::placement::idle_limit(gaps, {to_duration(load_s), price, longest, 0});
        };
    };
    return {run_policy("keep 10 min", arrivals, fixed(10min)),
            run_policy("keep 5 min", arrivals, fixed(5min)),
            run_policy("own gaps, price 1", arrivals, own(1, 10min)),
            run_policy("own gaps, price 0.5", arrivals, own(0.5, 10min)),
            run_policy("own gaps, price 0.25", arrivals, own(0.25, 10min))};
}

} // namespace waxwinglb::programs::experiment
