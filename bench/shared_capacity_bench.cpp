// Turns of one target granted by urgency: a request for a turn and a grant.
#include "core/dispatch/prompt_turns.hpp"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace waxwinglb::core;
using namespace std::chrono_literals;

/// One request and one grant while range(0) gateways wait for turns; 16 customers, three priorities.
static void BM_grant_by_urgency(benchmark::State& state) {
    const auto gateways = static_cast<std::size_t>(state.range(0));
    dispatch::turn_scheduler scheduler;
    const dispatch::turn_pace pace{0, 0, true, 64, 10};
    common::time_point now{100s};
    std::int64_t number = 0;
    const auto ask = [&](const std::string& gateway) {
        const auto customer = "customer-" + std::to_string(number % 16);
        const dispatch::urgency need{static_cast<int>(number % 3), customer, now + 500ms, 1'200};
        return scheduler.ask({gateway, ++number}, 1'000, need, pace, now);
    };
    for (std::size_t i = 0; i < gateways; ++i)
        ask("gateway-" + std::to_string(i));
    for (auto _ : state) {
        now += 1ms;
        const auto turn = scheduler.next(pace, now);
        scheduler.counted(*turn);
        benchmark::DoNotOptimize(ask(turn->gateway));
    }
    state.counters["x"] = static_cast<double>(gateways);
}
BENCHMARK(BM_grant_by_urgency)->Arg(5)->Arg(31)->Arg(1'300);
