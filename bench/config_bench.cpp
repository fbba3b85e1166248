// Configuration: how one revision, a full snapshot and key look-up scale with the fleet's size.
#include "fleet.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace waxwinglb;
using namespace waxwinglb::bench;

namespace {

core::config::replica make_replica(const std::vector<core::config::change>& changes) {
    core::config::replica out;
    out.apply(0, static_cast<std::int64_t>(changes.size()), changes);
    return out;
}

} // namespace

/// One accepted change of a customer, in a fleet with range(0) adapters.
static void BM_apply_revision(benchmark::State& state) {
    auto replica =
        make_replica(make_changes(planned_models, static_cast<int>(state.range(0)), planned_customers));
    std::int64_t revision = replica.revision();
    for (auto _ : state) {
        const core::config::customer changed{"customer-7", static_cast<double>(revision % 1000), 2000, 1};
        ++revision;
        replica.apply(revision - 1, revision,
                      {{revision, "customer/customer-7", core::config::encode(changed)}});
    }
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_apply_revision)->Arg(1'000)->Arg(10'000)->Arg(42'000)->Arg(planned_adapters);

/// One change of a model with range(0) adapters, the most expensive kind of change.
static void BM_apply_model(benchmark::State& state) {
    auto replica = make_replica(make_changes(planned_models, planned_adapters, planned_customers));
    const std::string value = core::config::encode(make_model(3, static_cast<int>(state.range(0))));
    std::int64_t revision = replica.revision();
    for (auto _ : state) {
        ++revision;
        replica.apply(revision - 1, revision, {{revision, "model/assistant/model-3", value}});
    }
    state.counters["x"] = static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(value.size());
}
BENCHMARK(BM_apply_model)->Arg(1)->Arg(40)->Arg(160)->Arg(640);

/// The full configuration, as a process applies it at its start, with range(0) adapters.
/// Counters: heap is the replica's size in bytes, bytes that of all keys and values.
static void BM_apply_snapshot(benchmark::State& state) {
    const auto changes = make_changes(planned_models, static_cast<int>(state.range(0)), planned_customers);
    double heap = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        const auto replica = make_replica(changes);
        heap = static_cast<double>(mallinfo2().uordblks - before);
        benchmark::DoNotOptimize(replica.revision());
    }
    double bytes = 0;
    for (const auto& change : changes)
        bytes += static_cast<double>(change.key.size() + change.value.size());
    state.counters["x"] = static_cast<double>(state.range(0));
    state.counters["heap"] = heap;
    state.counters["bytes"] = bytes;
}
BENCHMARK(BM_apply_snapshot)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(42'000)
    ->Arg(planned_adapters)
    ->Unit(benchmark::kMillisecond);

/// Look-up of the customer of a caller's key among range(0) keys.
static void BM_find_customer(benchmark::State& state) {
    const int keys = static_cast<int>(state.range(0));
    const auto replica = make_replica(make_changes(1, 0, keys));
    int next = 0;
    for (auto _ : state) {
        next = (next + 7919) % keys;
        benchmark::DoNotOptimize(core::keys::find_customer(replica.state(), key_text(next)));
    }
    state.counters["x"] = keys;
}
BENCHMARK(BM_find_customer)->Arg(5)->Arg(500)->Arg(planned_customers)->Arg(20'000);
