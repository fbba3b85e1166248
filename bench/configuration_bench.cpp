// What a gateway does with a configuration of range(0) routes: decode the store's answer, put it in force,
// and pack it for a peer.
#include "core/common/json_text.hpp"
#include "edge/gzip.hpp"
#include "platform/documents.hpp"
#include "platform/store_entries.hpp"

#include <benchmark/benchmark.h>
#include <boost/leaf/handle_errors.hpp>

using namespace waxwinglb;
using nlohmann::json;

namespace {

json document_of(std::int64_t routes) {
    json out{{"version", 3}, {"routes", json::array()}, {"services", {{{"name", "ledger"}}}}};
    for (std::int64_t i = 0; i < routes; ++i) {
        const std::string name = "r-" + std::to_string(i * 2'654'435'761 % 1'000'000'007);
        out["routes"].push_back({{"name", name},
                                 {"host", "shop.example"},
                                 {"path_prefix", "/" + name + "/"},
                                 {"kind", "idempotent"},
                                 {"timeout_ms", 20'000},
                                 {"target_latency_ms", 1'000},
                                 {"priority", 1},
                                 {"service", "ledger"},
                                 {"max_attempts", 2},
                                 {"no_auth", false},
                                 {"sticky", false},
                                 {"resumable", false},
                                 {"gap_aim_ms", 300}});
    }
    return out;
}

std::string list_of(const json& document) {
    const json object{{"metadata", {{"name", "main"}, {"revision", 7}}}, {"spec", document}};
    return R"({"items":[)" + object.dump() + "]}";
}

} // namespace

static void BM_decode_store_list_of_configuration(benchmark::State& state) {
    const std::string body = list_of(document_of(state.range(0)));
    for (auto _ : state) {
        platform::store_reply reply;
        benchmark::DoNotOptimize(platform::decode_store_body(body, reply, nullptr));
    }
    state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(BM_decode_store_list_of_configuration)->Arg(50)->Arg(4'250)->Unit(benchmark::kMillisecond);

static void BM_decode_configuration(benchmark::State& state) {
    const json document = document_of(state.range(0));
    for (auto _ : state)
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(decoded, platform::decode_config(document));
                benchmark::DoNotOptimize(decoded.version);
                return {};
            },
            [&] { state.SkipWithError("the document is invalid"); });
}
BENCHMARK(BM_decode_configuration)->Arg(50)->Arg(4'250)->Unit(benchmark::kMillisecond);

static void BM_write_configuration(benchmark::State& state) {
    const json document = document_of(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(document.dump());
}
BENCHMARK(BM_write_configuration)->Arg(50)->Arg(4'250)->Unit(benchmark::kMillisecond);

static void BM_pack_configuration(benchmark::State& state) {
    const std::string text = document_of(state.range(0)).dump();
    std::size_t packed = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(packed = edge::gzip(text).size());
    state.counters["bytes"] = static_cast<double>(packed);
}
BENCHMARK(BM_pack_configuration)->Arg(50)->Arg(4'250)->Unit(benchmark::kMillisecond);
