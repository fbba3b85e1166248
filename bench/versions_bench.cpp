// What targets state of their versions: one pass over all targets, and the versions of one model.
#include "core/streams/version_history.hpp"

#include <benchmark/benchmark.h>

#include <map>
#include <string>

using namespace waxwinglb::core;
using namespace std::chrono_literals;

namespace {

constexpr common::time_point start{100s};
constexpr int models = 530;
constexpr int models_per_target = 3;

std::map<std::string, fleet::target> fleet_of(std::int64_t targets) {
    std::map<std::string, fleet::target> out;
    for (int number = 0; number < targets; ++number) {
        fleet::target_entry& entry = out["target-" + std::to_string(number)].entry;
        entry.service = "engines";
        entry.software_version = "v1";
        for (int model = 0; model < models_per_target; ++model)
            entry.versions.weights["model-" + std::to_string((number * models_per_target + model) % models)] =
                1;
    }
    return out;
}

} // namespace

/// One pass over range(0) targets of which none has changed.
static void BM_note_versions(benchmark::State& state) {
    const auto targets = fleet_of(state.range(0));
    streams::version_history history;
    history.update(targets, start);
    for (auto _ : state)
        history.update(targets, start);
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_note_versions)->Arg(12)->Arg(100)->Arg(1'000)->Arg(4'400);

/// The versions of one model among range(0) targets, for a stream of unknown origin.
static void BM_find_versions(benchmark::State& state) {
    streams::version_history history;
    history.update(fleet_of(state.range(0)), start);
    for (auto _ : state)
        benchmark::DoNotOptimize(history.versions_of("engines", {"model-7", ""}));
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_find_versions)->Arg(12)->Arg(100)->Arg(1'000)->Arg(4'400);
