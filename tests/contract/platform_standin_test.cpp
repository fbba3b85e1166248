// Contract tests of the platform stand-in, called through the client that the programs use.
#include "edge/platform_client.hpp"
#include "edge/program.hpp"
#include "standins/platform/platform.hpp"

#include <gtest/gtest.h>

#include <future>

using namespace waxwinglb;
using namespace std::chrono_literals;
using edge::store_outcome;

namespace {

constexpr auto call_timeout = 20s; // ends a hung test; no result depends on its length

class platform_standin : public testing::Test {
protected:
    platform_standin() : server(settings(), context) {
        EXPECT_TRUE(server.start());
        address = "127.0.0.1:" + std::to_string(server.port());
        store.emplace(http, address, call_timeout);
    }
    static standins::platform::platform_settings settings() {
        standins::platform::platform_settings out;
        out.vm_lag = 50ms;
        out.weights = {100, 4};
        out.vms.push_back({"vm-1", "cerro", "target", "s", "127.0.0.1:1", "", "live"});
        return out;
    }
    template<class sender_type>
    edge::store_answer wait_for(sender_type&& send) {
        std::promise<edge::store_answer> done;
        auto answer = done.get_future();
        send([&done](edge::store_answer&& got) { done.set_value(std::move(got)); });
        return answer.get();
    }
    edge::store_answer read(const std::string& key) {
        return wait_for([&](auto done) { store->read(key, done); });
    }
    edge::store_answer put(const std::string& key, core::common::store_position version, std::string body) {
        return wait_for([&](auto done) { store->put(key, version, std::move(body), done); });
    }
    edge::client_result call(const std::string& method, const std::string& path, std::string body = {}) {
        std::promise<edge::client_result> done;
        auto answer = done.get_future();
        edge::client_request request;
        request.method = method;
        request.url = "http://" + address + path;
        request.body = std::move(body);
        request.timeout = call_timeout;
        http.send(std::move(request), [&done](edge::client_result&& got) { done.set_value(std::move(got)); });
        return answer.get();
    }
    /// A write that the HTTP client does not retry.
    store_outcome put_once(const std::string& key) {
        edge::client_request request;
        request.method = "PUT";
        request.url = "http://" + address + "/objects/" + key;
        request.headers = {{"If-None-Match", "*"}};
        request.body = "x";
        request.timeout = call_timeout;
        request.send_once = true;
        std::promise<edge::client_result> done;
        auto answer = done.get_future();
        http.send(std::move(request), [&done](edge::client_result&& got) { done.set_value(std::move(got)); });
        const auto got = answer.get();
        return got.outcome == edge::client_outcome::answered && got.status == 201 ? store_outcome::ok
                                                                                  : store_outcome::unknown;
    }
    void fault(const std::string& body) { ASSERT_EQ(call("POST", "/faults", body).status, 204) << body; }

    edge::program_context context;
    standins::platform::platform_server server;
    edge::http_client http;
    std::string address;
    std::optional<edge::platform_client> store;
};

} // namespace

TEST_F(platform_standin, versions_rise_and_conditions_decide) {
    EXPECT_EQ(read("a").outcome, store_outcome::absent);
    EXPECT_EQ(put("a", {0, 0}, "one").version.revision, 1);
    EXPECT_EQ(put("a", {0, 0}, "two").outcome, store_outcome::conflict);
    EXPECT_EQ(put("a", {0, 7}, "two").outcome, store_outcome::conflict);
    EXPECT_EQ(put("b", {0, 0}, "other").version.revision, 2);
    EXPECT_EQ(put("a", {0, 1}, "two").version.revision, 3);
    EXPECT_EQ(read("a").body, "two");
    EXPECT_EQ(wait_for([&](auto done) {
                  store->remove("a", {0, 1}, done);
              }).outcome,
              store_outcome::conflict);
    EXPECT_EQ(wait_for([&](auto done) { store->remove("a", {0, 3}, done); }).outcome, store_outcome::ok);
    EXPECT_EQ(read("a").outcome, store_outcome::absent);
    EXPECT_GT(put("a", {0, 0}, "again").version.revision, 4) << "a version was used again";
}

TEST_F(platform_standin, writes_without_a_condition_are_refused) {
    EXPECT_EQ(call("PUT", "/objects/a", "x").status, 428);
    EXPECT_EQ(call("DELETE", "/objects/a").status, 428);
    EXPECT_EQ(read("a").outcome, store_outcome::absent);
}

TEST_F(platform_standin, values_over_a_megabyte_are_refused) {
    EXPECT_EQ(put("a", {0, 0}, std::string(1'000'000, 'x')).outcome, store_outcome::ok);
    EXPECT_EQ(put("b", {0, 0}, std::string(1'000'001, 'x')).outcome, store_outcome::too_large);
    EXPECT_EQ(read("b").outcome, store_outcome::absent);
}

TEST_F(platform_standin, a_watch_ends_on_a_change_or_at_its_timeout) {
    ASSERT_EQ(put("a", {0, 0}, "one").version.revision, 1);
    EXPECT_EQ(wait_for([&](auto done) {
                  store->watch("a", {0, 1}, 30ms, done);
              }).outcome,
              store_outcome::unchanged);
    EXPECT_EQ(wait_for([&](auto done) { store->watch("a", {0, 0}, 10s, done); }).body, "one");
    std::promise<edge::store_answer> woken;
    store->watch("a", {0, 1}, 20s, [&](edge::store_answer&& got) { woken.set_value(std::move(got)); });
    ASSERT_EQ(put("a", {0, 1}, "two").outcome, store_outcome::ok);
    EXPECT_EQ(woken.get_future().get().body, "two");
}

TEST_F(platform_standin, a_watch_on_an_absent_object_is_woken_by_its_creation) {
    std::promise<edge::store_answer> woken;
    store->watch("new", {0, 0}, 20s, [&](edge::store_answer&& got) { woken.set_value(std::move(got)); });
    ASSERT_EQ(put("new", {0, 0}, "here").outcome, store_outcome::ok);
    EXPECT_EQ(woken.get_future().get().body, "here");
}

TEST_F(platform_standin, many_watches_hold_no_thread) {
    constexpr int watches = 500;
    std::atomic<int> woken{0};
    for (int i = 0; i < watches; ++i)
        store->watch("a", {0, 0}, 20s, [&](edge::store_answer&& got) { woken += got.body == "here"; });
    ASSERT_EQ(put("a", {0, 0}, "here").outcome, store_outcome::ok) << "a write waits behind watches";
    while (woken < watches)
        std::this_thread::sleep_for(1ms); // if a response is lost, the test's timeout ends the loop
    EXPECT_EQ(woken, watches);
}

TEST_F(platform_standin, lists_keys_of_a_prefix) {
    put("p/1", {0, 0}, "x");
    put("p/2", {0, 0}, "x");
    put("q/1", {0, 0}, "x");
    const auto listed = edge::decode_objects(wait_for([&](auto done) { store->list("p/", done); }).body);
    ASSERT_TRUE(listed.has_value());
    ASSERT_EQ(listed->size(), 2);
    EXPECT_EQ((*listed)[1].key, "p/2");
    EXPECT_EQ((*listed)[1].version.revision, 2);
}

TEST_F(platform_standin, the_vm_list_lags) {
    const auto shown = [&] {
        return edge::decode_vms(call("GET", "/vms").body).value_or(std::vector<edge::listed_vm>{});
    };
    ASSERT_EQ(shown().size(), 1);
    ASSERT_EQ(call("PUT", "/vms/vm-2", R"({"data_centre":"cerro","role":"router","state":"leaving"})").status,
              204);
    while (shown().size() < 2)
        std::this_thread::sleep_for(1ms);
    EXPECT_TRUE(shown()[1].leaving);
    ASSERT_EQ(call("DELETE", "/vms/vm-1").status, 204);
    while (shown().size() > 1)
        std::this_thread::sleep_for(1ms);
    EXPECT_EQ(shown().front().vm, "vm-2");
}

struct fault_case {
    const char* name;
    const char* body;
    store_outcome write; // outcome of the first write that the fault covers
    bool effective;      // whether the write takes effect
    bool repeats;        // whether the fault also applies to the next write
};

class platform_faults : public platform_standin, public testing::WithParamInterface<fault_case> {};

TEST_P(platform_faults, apply_as_described) {
    const fault_case& expected = GetParam();
    fault(expected.body);
    EXPECT_EQ(put_once("config/a"), expected.write);
    EXPECT_EQ(put_once("other"), store_outcome::ok) << "the fault reached another key";
    const auto next = put_once("config/b");
    EXPECT_EQ(next == expected.write, expected.repeats || expected.write == store_outcome::ok);
    ASSERT_EQ(call("DELETE", "/faults").status, 204);
    EXPECT_EQ(read("config/a").outcome, expected.effective ? store_outcome::ok : store_outcome::absent);
    EXPECT_EQ(put_once("config/c"), store_outcome::ok) << "the fault outlived its end";
}

INSTANTIATE_TEST_SUITE_P(
    table, platform_faults,
    testing::Values(
        fault_case{"down", R"({"kind":"down","match":"config/"})", store_outcome::unknown, false, true},
        fault_case{"down_once", R"({"kind":"down","match":"config/","count":1})", store_outcome::unknown,
                   false, false},
        fault_case{"reject", R"({"kind":"reject","match":"config/"})", store_outcome::unknown, false, true},
        fault_case{"slow", R"({"kind":"slow","match":"config/","delay_ms":20})", store_outcome::ok, true,
                   true},
        fault_case{"lose_answer", R"({"kind":"lose_answer","match":"config/"})", store_outcome::unknown, true,
                   true},
        fault_case{"lose_answer_then_down",
                   R"({"kind":"lose_answer","match":"config/","count":1,"then_down":true})",
                   store_outcome::unknown, true, true}),
    [](const auto& info) { return info.param.name; });

TEST_F(platform_standin, malformed_faults_are_refused) {
    for (const char* body : {"", "[]", "{}", R"({"kind":"storm"})", R"({"kind":1})"})
        EXPECT_EQ(call("POST", "/faults", body).status, 400) << body;
}

TEST_F(platform_standin, an_outage_ends_pending_watches) {
    std::promise<edge::store_answer> ended;
    store->watch("a", {0, 0}, 20s, [&](edge::store_answer&& got) { ended.set_value(std::move(got)); });
    while (call("GET", "/audit").body.find("\"open_watches\":1") == std::string::npos)
        std::this_thread::sleep_for(1ms);
    fault(R"({"kind":"down"})");
    EXPECT_EQ(ended.get_future().get().outcome, store_outcome::unavailable);
}

TEST(weight_store, reads_beyond_the_full_speed_count_share_the_rate) {
    using standins::platform::weight_store;
    const core::common::time_point begin{};
    weight_store four_reads{{4, 4}};
    for (int i = 0; i < 4; ++i)
        four_reads.begin(begin);
    EXPECT_TRUE(four_reads.take_finished(begin + 990ms).empty());
    EXPECT_EQ(four_reads.take_finished(begin + 1'001ms).size(), 4);
    weight_store eight_reads{{4, 4}};
    for (int i = 0; i < 8; ++i)
        eight_reads.begin(begin);
    EXPECT_TRUE(eight_reads.take_finished(begin + 1'990ms).empty());
    EXPECT_EQ(eight_reads.take_finished(begin + 2'001ms).size(), 8);
    weight_store one_read{{4, 4}};
    one_read.begin(begin);
    EXPECT_TRUE(one_read.take_finished(begin + 990ms).empty()) << "one read alone is no faster";
    EXPECT_EQ(one_read.take_finished(one_read.next_completion(begin + 990ms)).size(), 1);
}

TEST_F(platform_standin, restored_from_an_older_copy_it_gives_revisions_out_again_in_a_new_era) {
    ASSERT_EQ(put("a", {}, "copied").outcome, store_outcome::ok);
    ASSERT_EQ(call("POST", "/copy").status, 204);
    const auto lost = put("a", {0, 1}, "lost").version;
    ASSERT_EQ(call("POST", "/restore").status, 204);
    EXPECT_EQ(read("a").body, "copied");
    EXPECT_EQ(read("a").version, (core::common::store_position{1, 1}));
    EXPECT_EQ(put("b", {}, "new").version, (core::common::store_position{1, 2})); // the lost write's revision
    EXPECT_EQ(put("b", lost, "x").outcome, store_outcome::conflict) << "a condition of the old era held";
    EXPECT_EQ(read("missing").version, (core::common::store_position{1, 0}));
    const auto listed = edge::decode_objects(call("GET", "/objects").body);
    ASSERT_TRUE(listed.has_value());
    EXPECT_EQ(listed->at(0).version, (core::common::store_position{1, 1}));
}
