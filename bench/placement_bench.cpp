// Placement and routing: how planning, the weight-slot queue, replica choice and the fair queue scale.
#include "core/fairness/queue.hpp"
#include "core/placement/replica_set.hpp"
#include "core/placement/weight_slots.hpp"
#include "core/routing/replica_choice.hpp"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace waxwinglb::core;
using namespace std::chrono_literals;

namespace {

const common::time_point start = common::time_point{} + 100s;

std::vector<placement::target_view> make_targets(int count) {
    std::vector<placement::target_view> out(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        auto& target = out[static_cast<std::size_t>(i)];
        target.target = "target-" + std::to_string(i);
        target.vm = target.target;
        target.data_centre = "dc-" + std::to_string(i % 8);
        target.boot = 1;
        target.memory_bytes = 640;
        target.free_bytes = 100 + i % 50;
        target.reachable = true;
    }
    return out;
}

placement::plan_input make_input(const std::vector<placement::target_view>& targets) {
    placement::plan_input out;
    out.targets = targets;
    out.version = "v";
    out.bytes = 80;
    out.max_replicas = 64;
    out.idle_limit = 60s;
    return out;
}

/// A set with `replicas` loaded replicas.
placement::replica_set make_set(const placement::plan_input& input, int replicas) {
    placement::replica_set set;
    set.note_waiting(start, "r", {replicas * input.concurrency, 100, 5s});
    set.stored(set.plan(start, input)->number);
    for (const auto& member : set.current().members)
        set.on_outcome(start, {member.target, member.since, placement::order_result::loaded});
    return set;
}

} // namespace

/// First placement decision for a cold model among range(0) targets.
static void BM_place(benchmark::State& state) {
    const auto targets = make_targets(static_cast<int>(state.range(0)));
    const auto input = make_input(targets);
    for (auto _ : state) {
        placement::replica_set set;
        set.note_waiting(start, "r", {1, 100, 5s});
        benchmark::DoNotOptimize(set.plan(start, input));
    }
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_place)->Arg(12)->Arg(100)->Arg(1'000)->Arg(4'400);

/// A plan that changes nothing, with range(0) replicas among 4,400 targets: the cost of each tick for one
/// model.
static void BM_plan_steady(benchmark::State& state) {
    const auto targets = make_targets(4'400);
    const auto input = make_input(targets);
    auto set = make_set(input, static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(set.plan(start, input));
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_plan_steady)->Arg(1)->Arg(4)->Arg(16)->Arg(64);

/// One load through the slot queue with range(0) other loads waiting.
static void BM_slot(benchmark::State& state) {
    placement::weight_slots slots{{4, 1e9, 32, 2s, std::chrono::hours(1), std::chrono::hours(1)}};
    const int waiting = static_cast<int>(state.range(0));
    int next = 0;
    for (int i = 0; i < waiting + 4; ++i)
        slots.request(start, {std::to_string(next++), "c" + std::to_string(i % 5), 1, 0, start + 5s});
    std::vector<std::string> granted = slots.granted(start);
    granted.push_back("0");
    for (auto _ : state) {
        slots.release(start, granted.back());
        granted.pop_back();
        for (auto& load : slots.granted(start))
            granted.push_back(std::move(load));
        slots.request(start, {std::to_string(next++), "c" + std::to_string(next % 5), 1, 0, start + 5s});
        if (granted.empty())
            granted.push_back("none");
    }
    state.counters["x"] = waiting;
}
BENCHMARK(BM_slot)->Arg(1)->Arg(10)->Arg(100)->Arg(500);

/// One choice of a replica among range(0).
static void BM_route(benchmark::State& state) {
    std::vector<routing::replica> replicas(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        auto& replica = replicas[i];
        replica.target = "target-" + std::to_string(i);
        replica.data_centre = "dc-" + std::to_string(i % 8);
        replica.ready = true;
        replica.limit = 16;
        replica.running = static_cast<int>(i % 9);
        replica.adapters = {"adapter-" + std::to_string(i % 7)};
    }
    routing::replica_criteria criteria;
    criteria.adapter = "adapter-3";
    criteria.own_data_centre = "dc-1";
    for (auto _ : state) {
        criteria.random = criteria.random * 6364136223846793005ULL + 1442695040888963407ULL;
        benchmark::DoNotOptimize(routing::choose(replicas, criteria));
    }
    state.counters["x"] = static_cast<double>(state.range(0));
}
BENCHMARK(BM_route)->Arg(1)->Arg(4)->Arg(16)->Arg(64);

/// One push and pop at an agent's fair queue with range(0) waiting requests of 50 customers.
static void BM_admit(benchmark::State& state) {
    const int waiting = static_cast<int>(state.range(0));
    fairness::fair_queue queue{static_cast<std::size_t>(waiting) + 1};
    std::uint64_t id = 0;
    const auto push = [&] {
        ++id;
        queue.push(
            {id, "customer-" + std::to_string(id % 50), 1, 300, start + std::chrono::milliseconds(id)});
    };
    for (int i = 0; i < waiting; ++i)
        push();
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue.pop());
    }
    state.counters["x"] = waiting;
}
BENCHMARK(BM_admit)->Arg(1)->Arg(16)->Arg(128)->Arg(1'024);
