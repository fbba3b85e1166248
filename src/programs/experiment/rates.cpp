#include "core/limits/bucket.hpp"
#include "core/limits/grant_cache.hpp"
#include "programs/experiment/experiments.hpp"

#include <array>
#include <cmath>
#include <random>

namespace waxwinglb::programs::experiment {
namespace {

using namespace std::chrono_literals;
namespace limits = core::limits;
using core::common::duration;
using core::common::time_point;

constexpr std::size_t routers = 4;
constexpr double rate = 1'000;  // tokens a second over all routers
constexpr double burst = 2'000; // tokens
constexpr std::int64_t tokens = 100;
constexpr double demand = 0.8; // of the rate
constexpr duration span = 600s;
constexpr duration round_trip = 2ms;
constexpr std::array<double, routers> skew{0.7, 0.1, 0.1, 0.1};
const time_point start = time_point{} + 1h;

struct arrival {
    time_point at;
    std::size_t router;
};

std::vector<arrival> make_arrivals(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(demand * rate / tokens);
    std::discrete_distribution<std::size_t> router(skew.begin(), skew.end());
    std::vector<arrival> out;
    for (time_point at = start; at < start + span;) {
        at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random)));
        out.push_back({at, router(random)});
    }
    return out;
}

/// A single exact token bucket.
class exact_bucket {
public:
    exact_bucket(double per_second, double most) : rate_(per_second), burst_(most), tokens_(most) {}
    bool take(time_point now) {
        tokens_ = std::min(burst_, tokens_ + rate_ * std::chrono::duration<double>(now - at_).count());
        at_ = now;
        if (tokens_ < tokens)
            return false;
        tokens_ -= tokens;
        return true;
    }

private:
    double rate_;
    double burst_;
    double tokens_;
    time_point at_ = start;
};

/// Reserves and spends the tokens of a request, with draws of one round trip each; false if refused.
bool reserve(limits::grant_cache& grant_cache, limits::bucket& bucket, time_point now) {
    for (int tries = 0; tries < 3; ++tries) {
        const auto result = grant_cache.reserve(now, tokens);
        if (result.outcome == limits::reserve_outcome::served)
            return grant_cache.settle(now, result.reservation, tokens), true;
        if (result.outcome == limits::reserve_outcome::refused)
            return false;
        const auto order = grant_cache.next_draw(now);
        if (!order)
            return false;
        const auto answer = bucket.draw(now + round_trip / 2, order->requested, order->settled);
        now += round_trip;
        grant_cache.draw_answered(now, order->id, answer);
    }
    return false;
}

/// Sends the draws that are due between `from` and `until`: for expected demand, to settle and to return
/// tokens.
void run_grant_caches(std::array<limits::grant_cache, routers>& grant_caches, limits::bucket& bucket,
                      time_point from, time_point until, double& draws) {
    constexpr duration tick = 20ms;
    for (time_point now = from; now < until; now += tick)
        for (limits::grant_cache& one : grant_caches)
            if (const auto order = one.next_draw(now)) {
                one.draw_answered(now + round_trip, order->id,
                                  bucket.draw(now, order->requested, order->settled));
                ++draws;
            }
}

outcome summary(const std::string& policy, double all, double wrongful, double draws) {
    return {
        policy,
        {{"requests", all}, {"wrongful refusals %", 100 * wrongful / all}, {"draws ahead /s", draws / 600}}};
}

} // namespace

std::vector<outcome> run_rates(std::uint64_t seed) {
    const auto arrivals = make_arrivals(seed);
    const auto all = static_cast<double>(arrivals.size());
    exact_bucket reference{rate, burst};
    std::vector<exact_bucket> parts(routers, exact_bucket{rate / routers, burst / routers});
    limits::bucket bucket{start - 1h, 1, {rate, burst, 1}};
    std::array<limits::grant_cache, routers> grant_caches;
    double by_split = 0;
    double by_grants = 0;
    double draws = 0;
    time_point last = start;
    for (const arrival& one : arrivals) {
        run_grant_caches(grant_caches, bucket, last, one.at, draws);
        last = one.at;
        const bool admissible = reference.take(one.at);
        by_split += admissible && !parts[one.router].take(one.at) ? 1 : 0;
        by_grants += admissible && !reserve(grant_caches[one.router], bucket, one.at) ? 1 : 0;
    }
    return {summary("equal static split", all, by_split, 0), summary("drawn grants", all, by_grants, draws)};
}

} // namespace waxwinglb::programs::experiment
