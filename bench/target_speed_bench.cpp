// Targets' speeds: what a sample costs, the update twice a second, and one choice by speed among all targets.
#include "core/common/hash.hpp"
#include "core/dispatch/request_target_choice.hpp"
#include "core/target_speed/speeds.hpp"

#include <benchmark/benchmark.h>

#include <random>

using namespace waxwinglb::core;
using namespace std::chrono_literals;

namespace {

const common::time_point start = common::time_point{} + 100s;

/// range(0) targets of one service with learned speeds.
struct known_targets {
    explicit known_targets(std::size_t count) : targets(count), candidates(count) {
        std::mt19937 random{20261203};
        for (std::size_t i = 0; i < count; ++i) {
            targets[i].entry.id = "target-" + std::to_string(10'000 + i);
            targets[i].entry.born = 1;
            starts.push_back({targets[i].entry.id, 1});
            for (int k = 0; k < 32; ++k)
                speeds.note_sample(starts[i], "s", std::chrono::microseconds{30'000 + random() % 20'000},
                                   static_cast<int>(random() % 48), start);
            candidates[i].target = &targets[i];
            candidates[i].load = static_cast<int>(random() % 40);
            candidates[i].limit = 48;
            candidates[i].unread_limit = 2'000;
            candidates[i].capacity = 30 + static_cast<double>(random() % 40);
        }
        speeds.update(start);
    }
    std::vector<fleet::target> targets;
    std::vector<fleet::target_start> starts;
    std::vector<dispatch::candidate> candidates;
    target_speed::speeds speeds;
};

} // namespace

static void BM_speed_sample(benchmark::State& state) {
    known_targets known{static_cast<std::size_t>(state.range(0))};
    std::size_t next = 0;
    for (auto _ : state) {
        next = (next + 7919) % known.starts.size();
        known.speeds.note_sample(known.starts[next], "s", 40ms, 20, start);
    }
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_speed_sample)->Arg(50)->Arg(4'400);

static void BM_speed_update(benchmark::State& state) {
    known_targets known{static_cast<std::size_t>(state.range(0))};
    auto now = start;
    for (auto _ : state) {
        now += target_speed::update_interval;
        benchmark::DoNotOptimize(known.speeds.update(now));
    }
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_speed_update)->Arg(50)->Arg(4'400);

/// One choice among range(0) targets; range(1): by speed and spread, or the cheapest as without learn_speeds.
static void BM_choose_target(benchmark::State& state) {
    known_targets known{static_cast<std::size_t>(state.range(0))};
    dispatch::target_criteria criteria;
    criteria.prompt_tokens = 700;
    criteria.spread.active = state.range(1) != 0;
    criteria.spread.unseen = 30;
    for (auto _ : state) {
        ++criteria.spread.salt;
        benchmark::DoNotOptimize(dispatch::choose(known.candidates, criteria, start));
    }
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_choose_target)->Args({50, 0})->Args({50, 1})->Args({4'400, 0})->Args({4'400, 1});
