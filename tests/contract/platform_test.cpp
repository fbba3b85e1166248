// Decoding of the platform's documents, and the store client against late, lost, malformed and refused
// answers.
#include "platform/documents.hpp"
#include "platform/store_client.hpp"
#include "platform/target_notice.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace waxwinglb;
using namespace std::chrono_literals;
using nlohmann::json;
using platform::store_result;

namespace leaf = boost::leaf;

namespace {

template<class decoder>
auto value_of(decoder&& decode) {
    using value = std::decay_t<decltype(*decode())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<value>> {
            BOOST_LEAF_AUTO(made, decode());
            return std::optional<value>{std::move(made)};
        },
        [] { return std::optional<value>{}; });
}

std::optional<core::fleet::target_entry> target(const json& spec) {
    return value_of([&] { return platform::decode_target("t1", spec); });
}

const json good_target{{"service", "s"},
                       {"address", "10.0.0.1:80"},
                       {"zone", "z"},
                       {"slots", 64},
                       {"state", "ready"},
                       {"cold_left_ms", 500},
                       {"born", 7},
                       {"sequence", 4},
                       {"models", json::array({{{"name", "m"}, {"adapters", {"a1", "a2@3"}}}})},
                       {"at_hand", {{"in_memory", {"m"}}, {"on_disk", {"m", "n"}}}}};

} // namespace

TEST(platform_documents, a_registration_is_decoded) {
    const auto decoded = target(good_target);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->data_centre, "z");
    EXPECT_EQ(decoded->cold_left, 500ms);
    EXPECT_EQ(decoded->born, 7);
    EXPECT_EQ(decoded->models.at("m"), (std::vector<std::string>{"a1", "a2"}));
    EXPECT_EQ(decoded->copies_on_disk, (std::vector<std::string>{"m", "n"}));
    EXPECT_FALSE(decoded->draining);
}

TEST(platform_documents, a_registration_with_missing_or_invalid_fields_is_refused) {
    for (const char* field : {"service", "address", "state", "slots"}) {
        json odd = good_target;
        odd.erase(field);
        EXPECT_FALSE(target(odd).has_value()) << field;
        odd[field] = json::array({1});
        EXPECT_FALSE(target(odd).has_value()) << field;
    }
    json odd = good_target;
    odd["state"] = "resting";
    EXPECT_FALSE(target(odd).has_value());
    odd = good_target;
    odd["born"] = 1.5;
    EXPECT_FALSE(target(odd).has_value());
    EXPECT_FALSE(target("text").has_value());
    EXPECT_FALSE(target(nullptr).has_value());
}

TEST(platform_documents, a_configuration_is_decoded_into_this_systems_types) {
    const json spec{
        {"version", 7},
        {"routes", json::array({{{"name", "r"},
                                 {"host", "h"},
                                 {"path_prefix", "/a/"},
                                 {"kind", "streaming"},
                                 {"resumable", true},
                                 {"timeout_ms", 12000},
                                 {"gap_aim_ms", 300},
                                 {"max_attempts", 2},
                                 {"backends", json::array({{{"service", "s"}, {"weight", 90}},
                                                           {{"service", "t"}, {"weight", 10}}})}},
                                {{"name", "q"},
                                 {"host", "h"},
                                 {"path_prefix", "/b/"},
                                 {"kind", "unheard_of"},
                                 {"service", "s"}}})},
        {"services", json::array({{{"name", "s"},
                                   {"cold_per_s", 13.0},
                                   {"engine",
                                    {{"slots", 64},
                                     {"weights_mb", 230000.0},
                                     {"adapter_slots", 8},
                                     {"models", json::array({{{"name", "m"},
                                                              {"weights_mb", 65100.0},
                                                              {"load_time_s", 6.0},
                                                              {"disk_s", 0.78},
                                                              {"warm_s", 0.6},
                                                              {"adapters", 2}}})}}}}})},
        {"tenants",
         json::array({{{"name", "c"}, {"api_keys", {"k1", "k2"}}, {"rate_per_s", 10}, {"burst", 20}}})},
        {"limits", {{"max_header_bytes", 100}, {"idle_timeout_ms", 9000}}},
        {"unheard_of", 1}};
    const auto decoded = value_of([&] { return platform::decode_config(spec); });
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->routes[0].destinations.size(), 2U);
    EXPECT_EQ(decoded->routes[0].kind, core::fleet::call_kind::stream);
    EXPECT_EQ(decoded->routes[1].kind,
              core::fleet::call_kind::non_idempotent); // unknown kind: never repeated
    EXPECT_EQ(decoded->services.at("s").engine->models.at("m").disk_load, 780ms);
    EXPECT_EQ(decoded->owner_of("k2")->name, "c");
    EXPECT_EQ(decoded->owner_of("k3"), nullptr);
    EXPECT_EQ(decoded->limits.idle_timeout, 9s);
    EXPECT_FALSE(value_of([&] {
                     return platform::decode_config(json{{"routes", json::array()}});
                 }).has_value());
    EXPECT_FALSE(value_of([&] { return platform::decode_config(json::array()); }).has_value());
}

TEST(platform_documents, a_report_includes_adapters_that_are_loading) {
    const auto decoded = value_of([] {
        return platform::decode_report(
            R"({"models":[{"name":"m","adapters":["a1"]}],"coming":["m/a2@1"],"busy":true,
                                           "sequence":5,"born":7})");
    });
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->models.at("m"), (std::vector<std::string>{"a1", "a2"}));
    EXPECT_TRUE(decoded->busy);
    EXPECT_FALSE(decoded->reports_copies);
    EXPECT_FALSE(value_of([] { return platform::decode_report("\x80\x81"); }).has_value());
}

TEST(platform_documents, a_report_has_the_events_of_its_runs) {
    const auto decoded = value_of([] {
        return platform::decode_report(
            R"({"runs":[["r1",100,7,1],["r2",100,0,1],["r3",100],["r4",100,-1,1],["r5",100,"7",1],[6,100,7,1],7]})");
    });
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->events_made, (std::map<std::string, int>{{"r1", 7}, {"r2", 0}}));
    EXPECT_TRUE(value_of([] { return platform::decode_report(R"({"runs":7})"); })->events_made.empty());
}

TEST(platform_documents, an_order_has_its_sequence_holder_and_fencing_token) {
    const json decoded = json::parse(platform::encode_order({true, {"m", "a1"}, 4, "vm-1", 9}));
    EXPECT_EQ(decoded, (json{{"operation", "model_load"},
                             {"model", "m"},
                             {"adapter", "a1"},
                             {"expect", 4},
                             {"holder", "vm-1"},
                             {"fencing_token", 9}}));
}

namespace {

/// A store whose answers the test scripts.
struct scripted_store {
    explicit scripted_store(std::function<void(const edge::exchange_ptr&)> answer)
        : server(edge::http_server_options{}, std::move(answer)) {
        EXPECT_TRUE(server.start());
        address = "127.0.0.1:" + std::to_string(server.port());
    }
    platform::store_reply
    ask(const std::function<void(platform::store_client&, platform::store_client::on_reply)>& send,
        core::common::milliseconds timeout = 10s) {
        platform::store_client store{client, address, timeout};
        std::promise<platform::store_reply> got;
        auto future = got.get_future();
        send(store, [&](platform::store_reply&& reply) { got.set_value(std::move(reply)); });
        return future.get();
    }
    edge::http_server server;
    edge::http_client client;
    std::string address;
};

json object(const std::string& name, std::int64_t revision) {
    return {{"metadata", {{"name", name}, {"revision", revision}}}, {"spec", {{"x", 1}}}};
}

void read_one(platform::store_client& store, platform::store_client::on_reply done) {
    store.read("kind", "name", std::move(done));
}

} // namespace

TEST(platform_store, each_status_maps_to_a_result) {
    const std::pair<int, store_result> cases[] = {
        {404, store_result::absent},  {409, store_result::conflict}, {410, store_result::history_expired},
        {429, store_result::refused}, {503, store_result::refused},  {500, store_result::unknown}};
    for (const auto& [status, result] : cases) {
        scripted_store server{[status = status](const edge::exchange_ptr& exchange) {
            exchange->respond({status, {}, "{}"});
        }};
        EXPECT_EQ(server.ask(read_one).result, result) << status;
    }
}

TEST(platform_store, a_list_reads_all_pages_and_has_the_first_pages_revision) {
    scripted_store server{[](const edge::exchange_ptr& exchange) {
        const bool second = exchange->request().query.contains("after");
        EXPECT_EQ(second ? exchange->request().query.at("after") : "", second ? "a" : "");
        exchange->respond({200,
                           {},
                           json{{"items", json::array({object(second ? "b" : "a", 3)})},
                                {"more_pages", !second},
                                {"current_rev", second ? 9 : 5}}
                               .dump()});
    }};
    const auto reply = server.ask([](auto& store, auto done) { store.list("kind", 1s, done); });
    ASSERT_EQ(reply.result, store_result::ok);
    ASSERT_EQ(reply.objects.size(), 2U);
    EXPECT_EQ(reply.at.revision, 5);
}

TEST(platform_store, a_watch_reports_changes_and_removals) {
    scripted_store server{[](const edge::exchange_ptr& exchange) {
        EXPECT_EQ(exchange->request().query.at("watch"), "5");
        exchange->respond({200,
                           {},
                           json{{"events", json::array({{{"object", object("a", 6)}, {"removed", false}},
                                                        {{"object", object("a", 7)}, {"removed", true}},
                                                        {{"object", "odd"}},
                                                        4})},
                                {"current_rev", 7}}
                               .dump()});
    }};
    const auto reply = server.ask([](auto& store, auto done) { store.watch("kind", {0, 5}, 1s, 1s, done); });
    ASSERT_EQ(reply.objects.size(), 2U);
    EXPECT_FALSE(reply.objects[0].removed);
    EXPECT_TRUE(reply.objects[1].removed);
    EXPECT_EQ(reply.at.revision, 7);
}

TEST(platform_store, a_write_whose_answer_is_lost_or_late_is_unknown) {
    scripted_store cut{[](const edge::exchange_ptr& exchange) { exchange->cut(); }};
    const auto write = [](auto& store, auto done) {
        store.replace("kind", "name", {0, 3}, json{{"x", 2}}, done);
    };
    EXPECT_EQ(cut.ask(write).result, store_result::unknown);
    edge::exchange_ptr held;
    scripted_store silent{[&](const edge::exchange_ptr& exchange) { held = exchange; }};
    EXPECT_EQ(silent.ask(write, 100ms).result, store_result::unknown);
}

TEST(platform_store, a_request_that_was_never_sent_is_refused) {
    edge::http_client client;
    platform::store_client store{client, "127.0.0.1:1", 1s};
    std::promise<platform::store_reply> got;
    store.create("kind", "name", json::object(),
                 [&](platform::store_reply&& reply) { got.set_value(std::move(reply)); });
    EXPECT_EQ(got.get_future().get().result, store_result::refused);
}

TEST(platform_store, an_answer_that_is_not_json_is_unknown) {
    scripted_store server{[](const edge::exchange_ptr& exchange) {
        exchange->respond({200, {}, "\x80 no"});
    }};
    EXPECT_EQ(server.ask(read_one).result, store_result::unknown);
}

TEST(platform_store, each_answer_states_its_era_and_an_impossible_one_is_unknown) {
    struct fault_case {
        const char* header; // nullptr: missing
        store_result result;
        std::int64_t era;
    };
    for (const fault_case& each :
         {fault_case{nullptr, store_result::ok, 0}, fault_case{"0", store_result::ok, 0},
          fault_case{"7", store_result::ok, 7}, fault_case{"-1", store_result::unknown, 0},
          fault_case{"x", store_result::unknown, 0}, fault_case{"", store_result::unknown, 0},
          fault_case{"1.5", store_result::unknown, 0},
          fault_case{"99999999999999999999", store_result::unknown, 0},
          fault_case{"1048576", store_result::unknown, 0}}) {
        // Decoded directly: the HTTP server of the stand-ins leaves out a header with an empty value.
        edge::client_result answer;
        answer.outcome = edge::client_outcome::answered;
        answer.status = 200;
        answer.body = object("name", 5).dump();
        if (each.header != nullptr)
            answer.headers.push_back({"store-era", each.header});
        const auto reply = platform::decode_reply("GET", answer, nullptr);
        const char* name = each.header == nullptr ? "missing" : each.header;
        EXPECT_EQ(reply.result, each.result) << name;
        EXPECT_EQ(reply.at.era, each.era) << name;
        if (each.result == store_result::ok) {
            EXPECT_EQ(reply.objects.at(0).changed, (core::common::store_position{each.era, 5})) << name;
        } else {
            EXPECT_NE(reply.why.detail.find("Store-Era"), std::string::npos) << name;
        }
    }
}

TEST(platform_store, a_list_whose_pages_are_of_two_eras_is_not_used) {
    scripted_store server{[](const edge::exchange_ptr& exchange) {
        const bool second = exchange->request().query.contains("after");
        exchange->respond({200,
                           {{"Store-Era", second ? "2" : "1"}},
                           json{{"items", json::array({object(second ? "b" : "a", 3)})},
                                {"more_pages", !second},
                                {"current_rev", 5}}
                               .dump()});
    }};
    EXPECT_EQ(server.ask([](auto& store, auto done) { store.list("kind", 1s, done); }).result,
              store_result::unknown);
}

TEST(platform_store, each_era_has_a_lease_of_its_own) {
    EXPECT_EQ(platform::lease_name_of(0), "order-giver");
    EXPECT_EQ(platform::lease_name_of(3), "order-giver-3");
}

TEST(platform_documents, a_targets_notice_is_read_from_any_answer) {
    struct fault_case {
        const char* name;
        int status;
        edge::http_field field;
        bool leaving;
        std::optional<core::common::milliseconds> pause;
        bool understood;
    };
    const std::array cases{
        fault_case{"nothing", 200, {"Content-Type", "x"}, false, {}, true},
        fault_case{"leaving", 200, {"Server-Leaving", "1"}, true, {}, true},
        fault_case{"leaving, other case, refused", 503, {"server-leaving", "1"}, true, {}, true},
        fault_case{"not leaving", 200, {"Server-Leaving", "0"}, false, {}, true},
        fault_case{"leaving, another value", 200, {"Server-Leaving", "yes"}, false, {}, false},
        fault_case{"leaving, empty", 200, {"Server-Leaving", ""}, false, {}, false},
        fault_case{"pause", 503, {"Retry-After", "2"}, false, 2'000ms, true},
        fault_case{"pause with a fraction", 503, {"retry-after", "0.25"}, false, 250ms, true},
        fault_case{"no pause with another status", 429, {"Retry-After", "2"}, false, {}, true},
        fault_case{"pause, a date", 503, {"Retry-After", "Fri, 04 Dec 2026 08:00:00 GMT"}, false, {}, false},
        fault_case{"pause, negative", 503, {"Retry-After", "-3"}, false, {}, false},
        fault_case{"pause, negative zero", 503, {"Retry-After", "-0"}, false, {}, false},
        fault_case{"pause, no number", 503, {"Retry-After", "nan"}, false, {}, false},
        fault_case{"pause, no end", 503, {"Retry-After", "inf"}, false, {}, false},
        fault_case{"pause, empty", 503, {"Retry-After", ""}, false, {}, false},
        fault_case{"pause of 30 years",
                   503,
                   {"Retry-After", "1000000000"},
                   false,
                   platform::max_target_pause,
                   false},
    };
    for (const fault_case& each : cases) {
        const std::array fields{each.field};
        const auto notice = platform::decode_notice(each.status, fields);
        EXPECT_EQ(notice.leaving, each.leaving) << each.name;
        EXPECT_EQ(notice.pause, each.pause) << each.name;
        EXPECT_EQ(notice.not_understood.empty(), each.understood) << each.name;
    }
}

TEST(platform_notices, limits_of_targets_are_decimal_numbers) {
    struct limit_case {
        const char* value;
        std::optional<double> limit;
    };
    for (const limit_case& each :
         {limit_case{"1.3", 1.3}, limit_case{"0", 0.0}, limit_case{"20", 20.0}, limit_case{"", {}},
          limit_case{"-1", {}}, limit_case{"1e3", {}}, limit_case{"nan", {}}, limit_case{"2/s", {}}}) {
        const std::array fields{edge::http_field{"server-limit", each.value}};
        const auto notice = platform::decode_notice(200, fields);
        EXPECT_EQ(notice.limit, each.limit) << each.value;
        EXPECT_EQ(notice.not_understood.empty(), each.limit.has_value()) << each.value;
    }
}
