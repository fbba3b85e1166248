// Rate limits: draws at a lease holder and reservations at a router.
#include "core/limits/bucket.hpp"
#include "core/limits/grant_cache.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <map>
#include <string>

using namespace waxwinglb::core;
using namespace std::chrono_literals;

namespace {

const common::time_point start = common::time_point{} + 100s;

} // namespace

/// One draw with one settlement at a bucket from which range(0) routers draw twice a second each.
static void BM_draw_by_routers(benchmark::State& state) {
    limits::bucket bucket{start - 1h, 1, {1e6, 2e6, 1}};
    const auto routers = static_cast<std::size_t>(state.range(0));
    std::vector<limits::settlement> last(routers);
    auto now = start;
    std::size_t next = 0;
    for (auto _ : state) {
        now += 500ms / routers;
        const auto got = bucket.draw(now, 100, {&last[next], 1});
        last[next] = {got.grant, got.tokens, 0, 0};
        next = (next + 1) % routers;
    }
    state.counters["x"] = static_cast<double>(routers);
}
BENCHMARK(BM_draw_by_routers)->Arg(1)->Arg(20)->Arg(200)->Arg(1'300);

/// One draw at a lease holder with range(0) customers' buckets.
static void BM_draw_by_customers(benchmark::State& state) {
    std::map<std::string, limits::bucket> buckets;
    const int customers = static_cast<int>(state.range(0));
    for (int i = 0; i < customers; ++i)
        buckets.emplace("customer-" + std::to_string(i), limits::bucket{start - 1h, 1, {1e3, 2e3, 1}});
    auto now = start;
    int next = 0;
    for (auto _ : state) {
        now += 1ms;
        next = (next + 7919) % customers;
        benchmark::DoNotOptimize(buckets.at("customer-" + std::to_string(next)).draw(now, 10, {}));
    }
    state.counters["x"] = customers;
}
BENCHMARK(BM_draw_by_customers)->Arg(10)->Arg(300)->Arg(1'000)->Arg(5'000);

/// One request at a router's grant cache with range(0) requests running: reserve, settle and the draws they
/// need.
static void BM_reserve(benchmark::State& state) {
    limits::bucket bucket{start - 1h, 1, {1e9, 1e9, 1}};
    limits::grant_cache grant_cache;
    const auto running = static_cast<std::size_t>(state.range(0));
    std::vector<limits::reservation_id> open(running);
    auto now = start;
    std::size_t next = 0;
    double draws = 0;
    const auto draw = [&] {
        if (const auto order = grant_cache.next_draw(now)) {
            grant_cache.draw_answered(now, order->id, bucket.draw(now, order->requested, order->settled));
            ++draws;
        }
    };
    for (auto _ : state) {
        now += 1ms;
        grant_cache.settle(now, open[next], 60);
        auto got = grant_cache.reserve(now, 100);
        draw();
        if (got.outcome == limits::reserve_outcome::wait)
            got = grant_cache.reserve(now, 100);
        open[next] = got.reservation;
        next = (next + 1) % running;
    }
    state.counters["x"] = static_cast<double>(running);
    state.counters["draws_per_request"] = draws / static_cast<double>(state.iterations());
}
BENCHMARK(BM_reserve)->Arg(1)->Arg(10)->Arg(100)->Arg(400);
