// Contract tests of the HTTP server and client together: late answers, streams, limits, and the outcome of
// failed exchanges.
#include "edge/gzip.hpp"
#include "edge/http_client.hpp"
#include "edge/http_server.hpp"
#include "edge/ring.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace waxwinglb;
using namespace std::chrono_literals;

namespace {

constexpr auto test_timeout = 20s; // ends a hung test; no result depends on its length

struct server_under_test {
    explicit server_under_test(edge::http_server_options options = {})
        : exchanges(1000), server(std::move(options), [this](edge::exchange_ptr exchange) {
              exchanges.push(std::move(exchange));
          }) {
        EXPECT_TRUE(server.start());
    }
    std::string url(const std::string& path) const {
        return "http://127.0.0.1:" + std::to_string(server.port()) + path;
    }
    edge::exchange_ptr next() {
        auto exchange = exchanges.pop_until(core::common::clock::now() + test_timeout);
        EXPECT_TRUE(exchange.has_value()) << "no request came";
        return exchange.value_or(nullptr);
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
        auto result = results.pop_until(core::common::clock::now() + test_timeout);
        EXPECT_TRUE(result.has_value()) << "the call did not end";
        return result.value_or(edge::client_result{});
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

/// A listening socket whose backlog accepts connections and bytes but that never answers; closes on
/// destruction.
struct mute_peer {
    /// Takes the waiting connection and reads until it ends. Returns how many bytes came.
    [[nodiscard]] std::size_t read_late() const {
        const int socket = ::accept(listening, nullptr, nullptr);
        std::size_t total = 0;
        std::array<char, 4096> bytes{};
        for (;;) {
            const auto count = ::recv(socket, bytes.data(), bytes.size(), 0);
            if (count <= 0)
                break;
            total += static_cast<std::size_t>(count);
        }
        ::close(socket);
        return total;
    }
    /// Takes the waiting connection, reads once, sends `bytes` and closes.
    void answer(std::string_view bytes) const {
        const int socket = ::accept(listening, nullptr, nullptr);
        std::array<char, 4096> request{};
        EXPECT_GT(::recv(socket, request.data(), request.size(), 0), 0);
        EXPECT_EQ(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
        ::close(socket);
    }
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
    for (auto exchange = held.rbegin(); exchange != held.rend(); ++exchange)
        (*exchange)->respond({200, {}, (*exchange)->request().body});
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
    caller requester;
    requester.send(get(served.url("/stream")));
    const auto exchange = served.next();
    exchange->begin_stream(200, {{"Content-Type", "text/event-stream"}});
    std::string expected;
    for (int i = 0; i < 20'000; ++i) {
        const std::string piece = std::to_string(i) + "\n";
        expected += piece;
        ASSERT_TRUE(exchange->write_stream(piece));
    }
    exchange->end_stream();
    const auto result = requester.wait();
    EXPECT_EQ(result.outcome, edge::client_outcome::answered);
    EXPECT_EQ(result.body, expected);
}

TEST(http, an_aborted_stream_ends_as_interrupted) {
    server_under_test served;
    caller requester;
    requester.send(get(served.url("/stream")));
    const auto exchange = served.next();
    exchange->begin_stream(200, {});
    exchange->write_stream("half");
    exchange->abort_stream();
    EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted);
}

TEST(http, a_body_over_the_limit_is_refused_as_not_run) {
    edge::http_server_options options;
    options.max_body = 1'000;
    server_under_test served{options};
    caller requester;
    requester.send(post(served.url("/"), std::string(5'000, 'x')));
    const auto result = requester.wait();
    EXPECT_EQ(result.status, 413);
    EXPECT_NE(result.body.find("not_run"), std::string::npos);
    EXPECT_EQ(served.exchanges.size(), 0U) << "the handler saw an oversize request";
}

TEST(http, a_refused_connection_ends_as_not_sent) {
    int port = 0;
    {
        const mute_peer closed;
        port = closed.port;
    }
    caller requester;
    requester.send(post("http://127.0.0.1:" + std::to_string(port) + "/folios", "{}"));
    EXPECT_EQ(requester.wait().outcome, edge::client_outcome::not_sent);
}

TEST(http, a_request_without_an_answer_ends_as_interrupted) {
    const mute_peer peer;
    caller requester;
    auto request = post("http://127.0.0.1:" + std::to_string(peer.port) + "/folios", "{}");
    request.stall_timeout = 200ms;
    requester.send(request);
    EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted);
}

TEST(http, an_answer_that_ends_inside_its_head_ends_as_interrupted) {
    const std::string head = "HTTP/1.1 200 OK\r\nResponse-Signature: s1\r\nContent-Length: 4\r\n\r\n";
    const mute_peer peer;
    caller requester;
    for (std::size_t size = 1; size < head.size(); ++size) {
        requester.send(get("http://127.0.0.1:" + std::to_string(peer.port) + "/"));
        peer.answer(head.substr(0, size));
        EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted) << size << " bytes";
    }
}

TEST(http, a_withdrawn_call_that_is_given_up_does_not_arrive_later) {
    const mute_peer peer;
    const int few_bytes = 2'048; // the rest of the request waits in the caller's kernel
    ::setsockopt(peer.listening, SOL_SOCKET, SO_RCVBUF, &few_bytes, sizeof few_bytes);
    constexpr std::size_t size = 48U << 10U;
    caller requester;
    auto request = post("http://127.0.0.1:" + std::to_string(peer.port) + "/order", std::string(size, 'x'));
    request.timeout = 300ms;
    request.withdrawn_when_ended = true;
    requester.send(request);
    EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted);
    EXPECT_LT(peer.read_late(), size);
}

TEST(http, an_answer_over_its_size_limit_ends_as_interrupted) {
    server_under_test served;
    caller requester;
    auto request = get(served.url("/large"));
    request.max_answer = 2'000;
    requester.send(request);
    served.next()->respond({200, {}, std::string(3'000, 'x')});
    EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted);
    requester.send(request);
    served.next()->respond({200, {}, std::string(1'000, 'x')});
    EXPECT_EQ(requester.wait().body.size(), 1'000U);
}

TEST(http, answers_of_many_peers_without_end_share_one_bound) {
    constexpr std::size_t limit = 100'000;
    constexpr int peers = 20;
    server_under_test served;
    caller requester;
    auto request = get(served.url("/endless"));
    request.memory = std::make_shared<edge::receive_budget>(limit);
    std::vector<edge::exchange_ptr> open;
    for (int i = 0; i < peers; ++i) {
        requester.send(request);
        open.push_back(served.next());
        open.back()->begin_stream(200, {});
        open.back()->write_stream(std::string(limit / 2, 'x'));
    }
    for (int i = 0; i < peers - 2; ++i)
        EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted);
    for (const auto& exchange : open)
        exchange->abort_stream();
    requester.wait();
    requester.wait();
    EXPECT_TRUE(request.memory->take(limit)) << "the bytes of ended calls are given back";
}

TEST(http, an_answer_may_take_as_long_as_bytes_keep_coming) {
    constexpr int pieces = 12;
    server_under_test served;
    caller requester;
    auto request = get(served.url("/slow"));
    request.answer_timeout = 400ms;
    request.stall_timeout = 400ms;
    requester.send(request);
    const auto exchange = served.next();
    exchange->begin_stream(200, {});
    for (int i = 0; i < pieces; ++i) {
        exchange->write_stream("piece");
        std::this_thread::sleep_for(50ms);
    }
    exchange->end_stream();
    EXPECT_EQ(requester.wait().body.size(), 5U * pieces);
}

TEST(http, an_answer_that_does_not_begin_or_stops_ends_as_interrupted) {
    server_under_test served;
    caller requester;
    auto request = get(served.url("/stops"));
    request.answer_timeout = 100ms;
    request.stall_timeout = 100ms;
    requester.send(request);
    const auto mute = served.next();
    EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted);
    requester.send(request);
    const auto stopping = served.next();
    stopping->begin_stream(200, {});
    stopping->write_stream("a part");
    EXPECT_EQ(requester.wait().outcome, edge::client_outcome::interrupted);
    mute->respond({200, {}, ""});
    stopping->end_stream();
}

TEST(http, a_compressed_answer_arrives_decompressed) {
    const std::string text(100'000, 'x');
    server_under_test served;
    caller requester;
    auto request = get(served.url("/packed"));
    request.accepts_gzip = true;
    requester.send(request);
    const auto exchange = served.next();
    EXPECT_EQ(exchange->request().headers.at("accept-encoding"), "gzip");
    const std::string packed = edge::gzip(text);
    EXPECT_LT(packed.size(), text.size() / 10);
    exchange->respond({200, {{"Content-Encoding", "gzip"}}, packed});
    EXPECT_EQ(requester.wait().body, text);
}

TEST(http, a_cancelled_call_ends_at_once) {
    const mute_peer peer;
    caller requester;
    auto request = post("http://127.0.0.1:" + std::to_string(peer.port) + "/x", "{}");
    request.timeout = 0ms;
    const auto call = requester.send(request);
    requester.client.cancel(call);
    EXPECT_NE(requester.wait().outcome, edge::client_outcome::answered);
}

TEST(http, open_exchanges_finish_after_the_server_stops_accepting) {
    server_under_test served{drains()};
    caller requester;
    requester.send(get(served.url("/slow")));
    const auto exchange = served.next();
    served.server.stop_accepting();
    caller late_requester;
    late_requester.send(get(served.url("/late")));
    EXPECT_EQ(late_requester.wait().outcome, edge::client_outcome::not_sent);
    exchange->respond({200, {}, "done"});
    EXPECT_EQ(requester.wait().body, "done");
}

// Guards against an abort in libmicrohttpd: each round wakes the server's threads just as the listening
// socket is removed from their poll set.
TEST(http, a_server_can_stop_accepting_while_its_threads_wake_up) {
    constexpr int rounds = 2'000;
    for (int round = 0; round < rounds; ++round) {
        server_under_test served{drains()};
        caller requester;
        requester.send(get(served.url("/now")));
        const auto exchange = served.next();
        exchange->respond({200, {}, "done"}); // wakes the thread that holds the connection
        served.server.stop_accepting();
        ASSERT_EQ(requester.wait().body, "done");
    }
}

TEST(http, a_server_can_be_destroyed_while_exchanges_are_open) {
    auto served = std::make_unique<server_under_test>();
    caller first;
    caller second;
    first.send(get(served->url("/never")));
    second.send(get(served->url("/stream")));
    std::vector<edge::exchange_ptr> held{served->next(), served->next()};
    held[1]->begin_stream(200, {});
    held[1]->write_stream("half");
    served.reset();
    EXPECT_NE(first.wait().outcome, edge::client_outcome::answered);
    EXPECT_NE(second.wait().outcome, edge::client_outcome::answered);
}

TEST(http_client, calls_nothing_back_after_it_has_been_stopped) {
    const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(::bind(listening, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    ASSERT_EQ(::listen(listening, 16), 0);
    socklen_t size = sizeof at;
    getsockname(listening, reinterpret_cast<sockaddr*>(&at), &size);
    edge::http_client client;
    // Owned by the test, not by the callbacks, as the gateway's parts are.
    auto seen = std::make_unique<std::vector<edge::client_outcome>>();
    edge::client_request request;
    request.url = "http://127.0.0.1:" + std::to_string(ntohs(at.sin_port)) + "/never-answered";
    client.send(request,
                [owner = seen.get()](edge::client_result&& result) { owner->push_back(result.outcome); });
    const int accepted = ::accept(listening, nullptr, nullptr);
    client.stop();
    EXPECT_EQ(*seen, std::vector{edge::client_outcome::interrupted});
    seen.reset();
    client.send(request, [](edge::client_result&&) { FAIL(); });
    ::close(accepted);
    ::close(listening);
}
