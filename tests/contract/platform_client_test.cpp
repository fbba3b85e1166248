// Contract tests of the platform client: the outcome of reads and writes for each status and each broken
// exchange.
#include "edge/http_server.hpp"
#include "edge/platform_client.hpp"
#include "edge/ring.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <gtest/gtest.h>

using namespace waxwinglb;
using namespace std::chrono_literals;
using edge::store_outcome;

namespace {

constexpr auto test_timeout = 20s; // ends a hung test; no result depends on its length

struct fault_case {
    const char* name;
    int status; // 0: the server never answers
    store_outcome read;
    store_outcome write;
};

edge::store_answer
ask(const std::string& address,
    const std::function<void(edge::platform_client&, edge::platform_client::on_answer)>& call) {
    edge::ring<edge::store_answer> answers{4};
    edge::http_client client;
    edge::platform_client platform_api{client, address, 300ms};
    call(platform_api, [&](edge::store_answer&& answer) { answers.push(std::move(answer)); });
    auto out = answers.pop_until(core::common::clock::now() + test_timeout);
    EXPECT_TRUE(out.has_value());
    return out.value_or(edge::store_answer{});
}

/// A platform that answers every request with one status, or accepts connections and never answers.
struct platform {
    explicit platform(int status)
        : server({}, [this, status](const edge::exchange_ptr& exchange) {
              last_request = exchange->request();
              exchange->respond({status, {{"ETag", "\"42\""}}, "body"});
          }) {
        EXPECT_EQ(silent.open(ACE_INET_Addr{static_cast<u_short>(0), "127.0.0.1"}), 0);
        EXPECT_TRUE(server.start());
        ACE_INET_Addr bound;
        silent.get_local_addr(bound);
        address = "127.0.0.1:" + std::to_string(status == 0 ? bound.get_port_number() : server.port());
    }
    ~platform() { silent.close(); }
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    platform(platform&&) = delete;
    platform& operator=(platform&&) = delete;

    edge::http_request last_request;
    ACE_SOCK_Acceptor silent;
    edge::http_server server;
    std::string address;
};

} // namespace

TEST(platform_client, each_status_and_fault_maps_to_an_outcome) {
    const std::array cases{
        fault_case{"ok", 200, store_outcome::ok, store_outcome::ok},
        fault_case{"created", 201, store_outcome::ok, store_outcome::ok},
        fault_case{"unchanged", 304, store_outcome::unchanged, store_outcome::unchanged},
        fault_case{"absent", 404, store_outcome::absent, store_outcome::absent},
        fault_case{"condition failed", 412, store_outcome::conflict, store_outcome::conflict},
        fault_case{"too large", 413, store_outcome::too_large, store_outcome::too_large},
        fault_case{"store fails", 500, store_outcome::unavailable, store_outcome::unknown},
        fault_case{"store overloaded", 503, store_outcome::unavailable, store_outcome::unknown},
        fault_case{"no answer in time", 0, store_outcome::unavailable, store_outcome::unknown},
    };
    for (const fault_case& expected : cases) {
        platform store{expected.status};
        const auto read = ask(store.address, [](auto& platform_api, auto done) {
            platform_api.read("shards/1", std::move(done));
        });
        EXPECT_EQ(read.outcome, expected.read) << expected.name;
        const auto write = ask(store.address, [](auto& platform_api, auto done) {
            platform_api.put("shards/1", {0, 7}, "{}", std::move(done));
        });
        EXPECT_EQ(write.outcome, expected.write) << expected.name;
        EXPECT_EQ(write.store_answered(), expected.write != store_outcome::unknown) << expected.name;
        EXPECT_TRUE(expected.write != store_outcome::ok || write.version.revision == 42) << expected.name;
    }
}

TEST(platform_client, a_write_on_a_refused_connection_is_unavailable) {
    const auto out = ask("127.0.0.1:1", [](auto& platform_api, auto done) {
        platform_api.put("shards/1", {0, 7}, "{}", std::move(done));
    });
    EXPECT_EQ(out.outcome, store_outcome::unavailable);
}

TEST(platform_client, conditions_are_sent_as_entity_tags) {
    platform store{200};
    ask(store.address, [](auto& platform_api, auto done) {
        platform_api.put("claims/3/head", {0, 17}, "{}", std::move(done));
    });
    EXPECT_EQ(store.last_request.headers.at("if-match"), "\"17\"");
    ask(store.address,
        [](auto& platform_api, auto done) { platform_api.put("claims/3/head", {}, "{}", std::move(done)); });
    EXPECT_EQ(store.last_request.headers.at("if-none-match"), "*");
    EXPECT_FALSE(store.last_request.headers.contains("if-match"));
}

TEST(platform_client, malformed_lists_are_refused) {
    for (const char* text : {"", "{}", "[1]", R"([{"key":"a"}])"})
        EXPECT_FALSE(edge::decode_objects(text).has_value()) << text;
    for (const char* text : {"", "{}", "[1]"})
        EXPECT_FALSE(edge::decode_vms(text).has_value()) << text;
    const auto vms =
        edge::decode_vms(R"([{"vm":"v1","role":"target","state":"leaving","address":"127.0.0.1:5"}])");
    ASSERT_TRUE(vms.has_value());
    EXPECT_TRUE(vms->at(0).leaving);
}
