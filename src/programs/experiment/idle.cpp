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
constexpr double active_mean_s = 2 * 3600;
constexpr double idle_mean_s = 4 * 3600;
constexpr double load_s = 20;

duration to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Arrival times of one model over the day.
std::vector<double> make_arrivals(std::mt19937_64& random, double per_second) {
    std::vector<double> out;
    std::exponential_distribution<double> active_time(1 / active_mean_s);
    std::exponential_distribution<double> idle_time(1 / idle_mean_s);
    std::exponential_distribution<double> gap(per_second);
    bool active = std::bernoulli_distribution(active_mean_s / (active_mean_s + idle_mean_s))(random);
    for (double at = 0; at < day_s; active = !active) {
        const double end = std::min(at + (active ? active_time(random) : idle_time(random)), day_s);
        if (active)
            for (double next = at + gap(random); next < end; next += gap(random))
                out.push_back(next);
        at = end;
    }
    return out;
}

using keep_alive_rule = std::function<duration(const core::placement::gap_histogram&)>;

struct totals {
    std::vector<double> waits;
    double cold = 0;
    double idle_hours = 0;
};

void run_model(const std::vector<double>& arrivals, const keep_alive_rule& keep_alive, totals& sum) {
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
            sum.idle_hours += std::max(idle_end - last, 0.0) / 3600;
            gaps.add(to_duration(at - last));
        }
        sum.cold += cold ? 1 : 0;
        sum.waits.push_back(std::max(ready_at - at, 0.0));
        last = std::max(at, ready_at);
        loaded_until = last + std::chrono::duration<double>(keep_alive(gaps)).count();
    }
    if (last >= 0)
        sum.idle_hours += std::max(std::min(loaded_until, day_s) - last, 0.0) / 3600;
}

outcome run_policy(const std::string& name, const std::vector<std::vector<double>>& arrivals,
                   const keep_alive_rule& keep_alive) {
    totals sum;
    for (const auto& one : arrivals)
        run_model(one, keep_alive, sum);
    std::sort(sum.waits.begin(), sum.waits.end());
    const auto percentile = [&](double rank) {
        return sum.waits[static_cast<std::size_t>(rank * static_cast<double>(sum.waits.size() - 1))];
    };
    return {name,
            {{"cold starts", sum.cold},
             {"wait p99 s", percentile(0.99)},
             {"wait p99.9 s", percentile(0.999)},
             {"idle replica hours", sum.idle_hours}}};
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
    const auto fixed = [](duration keep_alive) { return [keep_alive](const auto&) { return keep_alive; }; };
    const auto from_gaps = [](double price, duration longest) {
        return [price, longest](const core::placement::gap_histogram& gaps) {
            return core::placement::idle_limit(gaps, {to_duration(load_s), price, longest, 0});
        };
    };
    return {run_policy("keep 10 min", arrivals, fixed(10min)),
            run_policy("keep 5 min", arrivals, fixed(5min)),
            run_policy("own gaps, price 1", arrivals, from_gaps(1, 10min)),
            run_policy("own gaps, price 0.5", arrivals, from_gaps(0.5, 10min)),
            run_policy("own gaps, price 0.25", arrivals, from_gaps(0.25, 10min))};
}

} // namespace waxwinglb::programs::experiment
