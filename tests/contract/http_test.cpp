// Contract tests of the HTTP server and client together: late answers, streams, limits, and how far a
// failed exchange got.
#include "edge/http_client.hpp"
#include "edge/http_server.hpp"
#include "edge/ring.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace waxwinglb;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 20s; // ends a hung test; no verdict depends on its length

struct server_under_test {
    explicit server_under_test(edge::http_server_options options = {})
        : exchanges(1000),
          server(std::move(options), [this](edge::exchange_ptr one) { exchanges.push(std::move(one)); }) {
        EXPECT_TRUE(server.start());
    }
    std::string url(const std::string& path) const {
        return "http://127.0.0.1:" + std::to_string(server.port()) + path;
    }
    edge::exchange_ptr next() {
        auto one = exchanges.pop_until(core::common::clock::now() + patience);
        EXPECT_TRUE(one.has_value()) << "no request came";
        return one.value_or(nullptr);
    }
    edge::ring<edge::exchange_ptr> exchanges;
    edge::http_server server;
};

edge::http_server_options drains() {
    edge::http_server_options out;
    out.drains = true;
    return out;
}

struct caller {
    edge::client_result wait() {
        auto one = results.pop_until(core::common::clock::now() + patience);
        EXPECT_TRUE(one.has_value()) << "the call did not end";
        return one.value_or(edge::client_result{});
    }
    edge::client_call send(edge::client_request request) {
        return client.send(std::move(request),
                           [this](edge::client_result&& result) { results.push(std::move(result)); });
    }
    edge::ring<edge::client_result> results{1000};
    edge::http_client client;
};

edge::client_request get(const std::string& url) {
    edge::client_request out;
    out.url = url;
    return out;
}

edge::client_request post(const std::string& url, std::string body) {
    edge::client_request out;
    out.method = "POST";
    out.url = url;
    out.body = std::move(body);
    return out;
}

/// A listening socket that takes connections and bytes but never answers; closes them when told.
struct mute_peer {
    mute_peer() : listening(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listening, reinterpret_cast<sockaddr*>(&local), sizeof local), 0);
        EXPECT_EQ(::listen(listening, 8), 0);
        socklen_t size = sizeof local;
        ::getsockname(listening, reinterpret_cast<sockaddr*>(&local), &size);
        port = ntohs(local.sin_port);
    }
    ~mute_peer() { ::close(listening); }
    mute_peer(const mute_peer&) = delete;
    mute_peer& operator=(const mute_peer&) = delete;
    mute_peer(mute_peer&&) = delete;
    mute_peer& operator=(mute_peer&&) = delete;
    int listening;
    int port = 0;
};

} // namespace

TEST(http, answers_given_later_reach_their_own_caller) {
    server_under_test served;
    constexpr int count = 40;
    std::vector<caller> callers(4);
    for (int i = 0; i < count; ++i)
        callers[static_cast<std::size_t>(i) % callers.size()].send(
            post(served.url("/echo"), std::to_string(i)));
    std::vector<edge::exchange_ptr> held;
    for (int i = 0; i < count; ++i)
        held.push_back(served.next());
    for (auto one = held.rbegin(); one != held.rend(); ++one)
        (*one)->respond({200, {}, (*one)->request().body});
    std::vector<bool> seen(count, false);
    for (int i = 0; i < count; ++i) {
        const auto result = callers[static_cast<std::size_t>(i) % callers.size()].wait();
        ASSERT_EQ(result.outcome, edge::client_outcome::answered);
        seen[std::stoul(result.body)] = true;
    }
    EXPECT_EQ(std::count(seen.begin(), seen.end(), true), count);
}

TEST(http, stream_arrives_whole_and_in_order) {
    server_under_test served;
    caller one;
    one.send(get(served.url("/stream")));
    const auto exchange = served.next();
    exchange->begin_stream(200, {{"Content-Type", "text/event-stream"}});
    std::string expected;
    for (int i = 0; i < 20'000; ++i) {
        const std::string piece = std::to_string(i) + "\n";
        expected += piece;
        ASSERT_TRUE(exchange->write_stream(piece));
    }
    exchange->end_stream();
    const auto result = one.wait();
    EXPECT_EQ(result.outcome, edge::client_outcome::answered);
    EXPECT_EQ(result.body, expected);
}

TEST(http, a_cut_stream_is_seen_as_cut) {
    server_under_test served;
    caller one;
    one.send(get(served.url("/stream")));
    const auto exchange = served.next();
    exchange->begin_stream(200, {});
    exchange->write_stream("half");
    exchange->abort_stream();
    EXPECT_EQ(one.wait().outcome, edge::client_outcome::interrupted);
}

TEST(http, a_body_over_the_limit_is_refused_as_not_run) {
    edge::http_server_options options;
    options.max_body = 1'000;
    server_under_test served{options};
    caller one;
    one.send(post(served.url("/"), std::string(5'000, 'x')));
    const auto result = one.wait();
    EXPECT_EQ(result.status, 413);
    EXPECT_NE(result.body.find("not_run"), std::string::npos);
    EXPECT_EQ(served.exchanges.size(), 0U) << "the handler saw an oversize request";
}

TEST(http, a_refused_connection_is_known_as_not_sent) {
    int port = 0;
    {
        const mute_peer gone;
        port = gone.port;
    }
    caller one;
    one.send(post("http://127.0.0.1:" + std::to_string(port) + "/folios", "{}"));
    EXPECT_EQ(one.wait().outcome, edge::client_outcome::not_sent);
}

TEST(http, a_peer_that_took_the_request_leaves_the_outcome_open) {
    const mute_peer peer;
    caller one;
    auto request = post("http://127.0.0.1:" + std::to_string(peer.port) + "/folios", "{}");
    request.stall_timeout = 200ms;
    one.send(request);
    EXPECT_EQ(one.wait().outcome, edge::client_outcome::interrupted);
}

TEST(http, a_cancelled_call_ends_at_once) {
    const mute_peer peer;
    caller one;
    auto request = post("http://127.0.0.1:" + std::to_string(peer.port) + "/x", "{}");
    request.timeout = 0ms;
    const auto call = one.send(request);
    one.client.cancel(call);
    EXPECT_NE(one.wait().outcome, edge::client_outcome::answered);
}

TEST(http, open_exchanges_finish_after_the_server_stops_accepting) {
    server_under_test served{drains()};
    caller one;
    one.send(get(served.url("/slow")));
    const auto exchange = served.next();
    served.server.stop_accepting();
    caller late;
    late.send(get(served.url("/late")));
    EXPECT_EQ(late.wait().outcome, edge::client_outcome::not_sent);
    exchange->respond({200, {}, "done"});
    EXPECT_EQ(one.wait().body, "done");
}

// Each round gives the server's threads a reason to look at the listening socket just when it is taken away.
TEST(http, a_server_stops_accepting_while_its_threads_wake_up) {
    constexpr int rounds = 2'000;
    for (int round = 0; round < rounds; ++round) {
        server_under_test served{drains()};
        caller one;
        one.send(get(served.url("/now")));
        const auto exchange = served.next();
        exchange->respond({200, {}, "done"}); // wakes the thread that holds the connection
        served.server.stop_accepting();
        ASSERT_EQ(one.wait().body, "done");
    }
}

TEST(http, a_server_ends_while_exchanges_wait) {
    auto served = std::make_unique<server_under_test>();
    caller one;
    caller two;
    one.send(get(served->url("/never")));
    two.send(get(served->url("/stream")));
    std::vector<edge::exchange_ptr> held{served->next(), served->next()};
    held[1]->begin_stream(200, {});
    held[1]->write_stream("half");
    served.reset();
    EXPECT_NE(one.wait().outcome, edge::client_outcome::answered);
    EXPECT_NE(two.wait().outcome, edge::client_outcome::answered);
}
