// Exchanges with targets: each request is sent exactly once, and no request gets the answer to another one.
#include "programs/gateway/target_link.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace waxwinglb;
using namespace std::chrono_literals;
using programs::gateway::connection_choice;
using programs::gateway::exchange;
using programs::gateway::exchange_failure;
using programs::gateway::target_link;

namespace {

constexpr auto test_timeout = 20s; // ends a hung test; no result depends on its length

/// A target with scripted answers, which serves one connection at a time.
class scripted_target {
public:
    /// Called with each request; returns the bytes to send. A trailing "close" or "reset" ends the
    /// connection.
    using script = std::function<std::string(const std::string& request, int connection)>;
    explicit scripted_target(script answer) : answer_(std::move(answer)) {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
        EXPECT_EQ(::listen(listener_, 16), 0);
        socklen_t size = sizeof at;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        thread_ = std::thread{[this] { run(); }};
    }
    ~scripted_target() {
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        thread_.join();
    }
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;
    scripted_target(scripted_target&&) = delete;
    scripted_target& operator=(scripted_target&&) = delete;

    std::string address;
    std::atomic<int> requests{0};
    std::atomic<int> connections{0};

private:
    void run() {
        for (;;) {
            const int socket = ::accept(listener_, nullptr, nullptr);
            if (socket < 0)
                return;
            const int connection = ++connections;
            serve(socket, connection);
        }
    }
    void serve(int socket, int connection) {
        std::string text;
        char bytes[4096];
        for (;;) {
            const auto count = ::recv(socket, bytes, sizeof bytes, 0);
            if (count <= 0)
                break;
            text.append(bytes, static_cast<std::size_t>(count));
            if (text.find("\r\n\r\n") == std::string::npos)
                continue;
            ++requests;
            std::string out = answer_(text, connection);
            text.clear();
            const bool ends = out.ends_with("close");
            const bool resets = out.ends_with("reset");
            out.resize(out.size() - (ends || resets ? 5 : 0));
            ::send(socket, out.data(), out.size(), MSG_NOSIGNAL);
            if (resets) {
                std::this_thread::sleep_for(50ms); // lets the bytes arrive before the reset
                const linger hard{1, 0};
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            }
            if (ends || resets)
                break;
        }
        ::close(socket);
    }
    script answer_;
    int listener_ = -1;
    std::thread thread_;
};

std::string answer(const std::string& id, const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct outcome {
    std::string body;
    int status = 0;
    bool complete = false;
    std::optional<exchange_failure> failure;
};

struct test_client {
    explicit test_client(const std::string& address)
        : link(std::make_shared<target_link>(loop, address, totals)) {}
    outcome ask(const std::string& id, connection_choice choice = connection_choice::any) {
        outcome out;
        exchange::events events;
        events.may_send = may_send;
        events.on_head = [&](const edge::answer_head& head) { out.status = head.status; };
        events.on_body = [&](std::string&& piece) { out.body += piece; };
        events.on_complete = [&] {
            out.complete = true;
            loop.stop();
        };
        events.on_failed = [&](exchange_failure failure) {
            out.failure = failure;
            loop.stop();
        };
        auto open_exchange = link->send("GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: " + id + "\r\n\r\n", id,
                                        choice, std::move(events));
        run(test_timeout);
        return out;
    }
    void run(core::common::duration at_most) {
        auto limit = loop.schedule(now() + at_most, [this] { loop.stop(); });
        loop.run();
        loop.cancel(limit);
        loop.resume();
    }
    core::common::time_point now() { return loop.now(); }
    edge::event_loop loop;
    target_link::connection_counters totals;
    std::shared_ptr<target_link> link;
    std::function<bool()> may_send;
};

} // namespace

TEST(target_link, connection_is_reused_for_the_next_request) {
    scripted_target target{[](const std::string& request, int) {
        return answer(request.find("r2") == std::string::npos ? "r1" : "r2", "body");
    }};
    test_client client{target.address};
    EXPECT_EQ(client.ask("r1").body, "body");
    EXPECT_TRUE(client.ask("r2").complete);
    EXPECT_EQ(target.connections, 1);
    EXPECT_EQ(client.totals.reused, 1U);
}

TEST(target_link, late_answer_to_an_earlier_request_is_skipped) {
    scripted_target target{[](const std::string& request, int) {
        return request.find("r2") == std::string::npos ? answer("r1", "first")
                                                       : answer("r1", "first again") + answer("r2", "second");
    }};
    test_client client{target.address};
    ASSERT_TRUE(client.ask("r1").complete);
    const auto second = client.ask("r2");
    EXPECT_EQ(second.body, "second");
    EXPECT_TRUE(second.complete);
}

TEST(target_link, earlier_refusal_repeated_on_a_kept_connection_is_not_the_answer_to_the_repeated_request) {
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    std::map<int, int> carried; // requests by connection
    bool refused = false;
    scripted_target target{[&](const std::string&, int connection) {
        if (!std::exchange(refused, true)) {
            ++carried[connection];
            return std::string{refusal};
        }
        return (carried[connection]++ > 0 ? refusal : std::string{}) + answer("r1", "ran");
    }};
    test_client client{target.address};
    ASSERT_EQ(client.ask("r1").status, 503);
    const auto second = client.ask("r1", connection_choice::unused);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.body, "ran");
}

TEST(target_link, extra_bytes_after_an_answer_close_the_connection_and_keep_the_answer) {
    scripted_target target{[](const std::string& request, int) {
        return request.find("r2") == std::string::npos ? answer("r1", "first") + answer("r1", "again")
                                                       : answer("r2", "second");
    }};
    test_client client{target.address};
    EXPECT_EQ(client.ask("r1").body, "first");
    EXPECT_EQ(client.ask("r2").body, "second");
    EXPECT_EQ(target.connections, 2);
}

// libcurl would resend the request in this case.
TEST(target_link, request_is_not_resent_when_a_reused_connection_closes_before_the_answer) {
    scripted_target target{[](const std::string& request, int) {
        return request.find("r2") == std::string::npos ? answer("r1", "first") : std::string{"close"};
    }};
    test_client client{target.address};
    ASSERT_TRUE(client.ask("r1").complete);
    const auto second = client.ask("r2");
    ASSERT_TRUE(second.failure.has_value());
    EXPECT_EQ(*second.failure, exchange_failure::broken);
    EXPECT_EQ(target.requests, 2);
}

TEST(target_link, non_repeatable_request_does_not_reuse_a_connection_idle_for_long) {
    scripted_target target{[](const std::string& request, int) {
        return answer(request.find("r2") == std::string::npos ? "r1" : "r2", "b",
                      "Keep-Alive: timeout=1\r\n");
    }};
    test_client client{target.address};
    ASSERT_TRUE(client.ask("r1").complete);
    client.run(500ms); // over 0.4 of the time for which the connection is kept
    EXPECT_TRUE(client.ask("r2", connection_choice::recent).complete);
    EXPECT_EQ(client.totals.reused, 0U);
}

TEST(target_link, refused_connection_counts_as_not_sent) {
    test_client client{"127.0.0.1:1"};
    const auto out = client.ask("r1");
    ASSERT_TRUE(out.failure.has_value());
    EXPECT_EQ(*out.failure, exchange_failure::not_sent);
    EXPECT_EQ(client.link->open_count(), 0);
}

struct broken_answer {
    const char* name;
    std::string bytes;
    exchange_failure failure;
};

TEST(target_link, incomplete_and_malformed_answers_fail) {
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
    const broken_answer cases[] = {
        {"no byte", "close", exchange_failure::broken},
        {"half a head",
         "HTTP/1.1 200 OK\r\nReq"
         "close",
         exchange_failure::broken},
        {"half a body",
         head + "Content-Length: 9\r\n\r\nabc"
                "close",
         exchange_failure::broken},
        {"no last chunk",
         head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                "close",
         exchange_failure::broken},
        {"no length, reset",
         head + "\r\nabc"
                "reset",
         exchange_failure::broken},
        {"no http",
         "\x01\x02\x03 nothing\r\n\r\n"
         "close",
         exchange_failure::malformed},
    };
    for (const broken_answer& test_case : cases) {
        scripted_target target{[&](const std::string&, int) { return test_case.bytes; }};
        test_client client{target.address};
        const auto out = client.ask("r1");
        ASSERT_TRUE(out.failure.has_value()) << test_case.name;
        EXPECT_EQ(*out.failure, test_case.failure) << test_case.name;
        EXPECT_FALSE(out.complete) << test_case.name;
        EXPECT_EQ(client.link->open_count(), 0) << test_case.name;
    }
}

TEST(target_link, a_head_that_ends_at_any_byte_is_no_answer) {
    const std::string whole = answer("r1", "", "Response-Signature: s1\r\n");
    for (std::size_t size = 1; size < whole.size(); ++size) {
        scripted_target target{[&](const std::string&, int) { return whole.substr(0, size) + "close"; }};
        test_client client{target.address};
        const auto out = client.ask("r1");
        ASSERT_TRUE(out.failure.has_value()) << size << " bytes";
        EXPECT_FALSE(out.complete) << size << " bytes";
        EXPECT_EQ(out.status, 0) << size << " bytes: a head was taken for whole";
    }
}

TEST(target_link, a_request_is_not_sent_on_a_connection_that_came_too_late) {
    scripted_target target{[](const std::string&, int) { return answer("r1", "ran"); }};
    test_client client{target.address};
    client.may_send = [] { return false; };
    const auto out = client.ask("r1");
    ASSERT_TRUE(out.failure.has_value());
    EXPECT_EQ(*out.failure, exchange_failure::withdrawn);
    EXPECT_EQ(target.requests, 0);
    EXPECT_EQ(client.link->open_count(), 0);
}

TEST(target_link, late_answer_without_end_fails_and_closes_the_connection) {
    scripted_target target{[](const std::string& request, int) {
        if (request.find("r2") == std::string::npos)
            return answer("r1", "first");
        return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n" + std::string(16U << 20U, 'x');
    }};
    test_client client{target.address};
    ASSERT_TRUE(client.ask("r1").complete);
    const auto second = client.ask("r2");
    ASSERT_TRUE(second.failure.has_value());
    EXPECT_EQ(*second.failure, exchange_failure::malformed);
    EXPECT_EQ(client.link->open_count(), 0);
}

TEST(target_link, body_without_length_is_complete_when_the_connection_closes) {
    scripted_target target{[](const std::string&, int) {
        return std::string{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nabcclose"};
    }};
    test_client client{target.address};
    const auto out = client.ask("r1");
    EXPECT_TRUE(out.complete);
    EXPECT_EQ(out.body, "abc");
}
