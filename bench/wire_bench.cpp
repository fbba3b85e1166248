// Wire frames: cost of encoding and decoding, and encoded size.
#include "edge/codec.hpp"

#include <benchmark/benchmark.h>

using namespace waxwinglb;

namespace {

wire::target_report make_report(int models) {
    wire::target_report out;
    out.target = "10.20.30.40:7001";
    out.vm = "vm-4021";
    out.data_centre = "dc-3";
    out.service_name = "assistant";
    out.boot = 1764794175123456;
    out.memory_bytes = 640'000'000'000;
    out.free_bytes = 80'000'000'000;
    for (int i = 0; i < models; ++i) {
        wire::loaded_model model;
        model.model = "model-" + std::to_string(i);
        model.version = "2026-11-03";
        model.decision = 1000 + i;
        model.state = "loaded";
        model.bytes = 16'000'000'000;
        model.idle_ms = 123'456;
        model.adapters = {"adapter-1", "adapter-2", "adapter-3", "adapter-4"};
        out.models.push_back(model);
    }
    return out;
}

template<class body_type>
void run_encode(benchmark::State& state, wire::message_kind::type kind, const body_type& body) {
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = edge::encode_frame(kind, 7, body).size();
    state.counters["x"] = static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(bytes);
}

template<class body_type>
void run_decode(benchmark::State& state, wire::message_kind::type kind, const body_type& body) {
    const std::string bytes = edge::encode_frame(kind, 7, body).substr(4);
    for (auto _ : state) {
        const auto frame = edge::decode_frame(bytes);
        benchmark::DoNotOptimize(edge::decode_body<body_type>(frame->body));
    }
    state.counters["x"] = static_cast<double>(state.range(0));
    state.counters["bytes"] = static_cast<double>(bytes.size() + 4);
}

wire::draw_request make_draw(int settlements) {
    wire::draw_request out;
    out.customer = "customer-1234";
    out.wanted = 5'000;
    out.router = "router-812";
    for (int i = 0; i < settlements; ++i) {
        wire::grant_settlement settlement;
        settlement.grant = (77LL << 32) + 100'000 + i;
        settlement.spent = 4'000;
        settlement.returned = 900;
        settlement.corrected = 120;
        out.settled.push_back(settlement);
    }
    out.__isset.settled = true;
    return out;
}

wire::replica_view make_view(int replicas) {
    wire::replica_view out;
    out.service_name = "assistant";
    out.model = "model-12";
    out.decision = 1234;
    out.fencing = 77;
    out.valid_ms = 3'000;
    for (int i = 0; i < replicas; ++i) {
        wire::replica replica;
        replica.target = "10.20.30.40:7001";
        replica.address = "10.20.30.40:7001";
        replica.data_centre = "dc-3";
        replica.state = "loaded";
        replica.load.running = 5;
        replica.load.limit = 16;
        replica.load.boot = 1764794175123456;
        replica.adapters = {"adapter-1", "adapter-2", "adapter-3", "adapter-4"};
        out.replicas.push_back(replica);
    }
    return out;
}

wire::run_chunk make_chunk(int bytes) {
    wire::run_chunk out;
    out.request_id = "0f3c9a7e5b1d4c68";
    out.attempt = 1;
    out.offset = 12'345;
    out.data = std::string(static_cast<std::size_t>(bytes), 'x');
    return out;
}

wire::run_request make_run(int bytes) {
    wire::run_request out;
    out.request_id = "0f3c9a7e5b1d4c68";
    out.attempt = 1;
    out.customer = "customer-1234";
    out.service_name = "assistant";
    out.model = "model-12";
    out.adapter = "adapter-12-3";
    out.remaining_ms = 9'876;
    out.prompt_tokens = 500;
    out.max_tokens = 512;
    out.method = "POST";
    out.path = "/v1/chat/completions";
    out.body = std::string(static_cast<std::size_t>(bytes), 'x');
    out.fingerprint = "0123456789abcdef0123456789abcdef";
    return out;
}

} // namespace

static void BM_encode_report(benchmark::State& state) {
    run_encode(state, wire::message_kind::target_report, make_report(static_cast<int>(state.range(0))));
}
static void BM_decode_report(benchmark::State& state) {
    run_decode(state, wire::message_kind::target_report, make_report(static_cast<int>(state.range(0))));
}
static void BM_encode_draw(benchmark::State& state) {
    run_encode(state, wire::message_kind::draw_request, make_draw(static_cast<int>(state.range(0))));
}
static void BM_decode_draw(benchmark::State& state) {
    run_decode(state, wire::message_kind::draw_request, make_draw(static_cast<int>(state.range(0))));
}
static void BM_encode_view(benchmark::State& state) {
    run_encode(state, wire::message_kind::replica_view, make_view(static_cast<int>(state.range(0))));
}
static void BM_decode_view(benchmark::State& state) {
    run_decode(state, wire::message_kind::replica_view, make_view(static_cast<int>(state.range(0))));
}
static void BM_encode_chunk(benchmark::State& state) {
    run_encode(state, wire::message_kind::run_chunk, make_chunk(static_cast<int>(state.range(0))));
}
static void BM_decode_chunk(benchmark::State& state) {
    run_decode(state, wire::message_kind::run_chunk, make_chunk(static_cast<int>(state.range(0))));
}
static void BM_encode_run(benchmark::State& state) {
    run_encode(state, wire::message_kind::run_request, make_run(static_cast<int>(state.range(0))));
}
static void BM_decode_run(benchmark::State& state) {
    run_decode(state, wire::message_kind::run_request, make_run(static_cast<int>(state.range(0))));
}
BENCHMARK(BM_encode_report)->Arg(0)->Arg(2)->Arg(8)->Arg(24);
BENCHMARK(BM_decode_report)->Arg(0)->Arg(2)->Arg(8)->Arg(24);
BENCHMARK(BM_encode_draw)->Arg(0)->Arg(2)->Arg(8)->Arg(24);
BENCHMARK(BM_decode_draw)->Arg(0)->Arg(2)->Arg(8)->Arg(24);
BENCHMARK(BM_encode_view)->Arg(0)->Arg(2)->Arg(8)->Arg(24);
BENCHMARK(BM_decode_view)->Arg(0)->Arg(2)->Arg(8)->Arg(24);
BENCHMARK(BM_encode_chunk)->Arg(16)->Arg(128)->Arg(1'024)->Arg(4'096);
BENCHMARK(BM_decode_chunk)->Arg(16)->Arg(128)->Arg(1'024)->Arg(4'096);
BENCHMARK(BM_encode_run)->Arg(200)->Arg(2'000)->Arg(8'000)->Arg(32'000);
BENCHMARK(BM_decode_run)->Arg(200)->Arg(2'000)->Arg(8'000)->Arg(32'000);
