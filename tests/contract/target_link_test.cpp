// Exchanges with targets: each request is sent exactly once, and no answer reaches a request that isn't its
// own.
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
using programs::gateway::exchange;
using programs::gateway::exchange_failure;
using programs::gateway::target_link;

namespace {

constexpr auto patience = 20s; // ends a hung test; no verdict depends on its length

/// A target that answers what a script says, on one connection after the other.
class scripted_target {
public:
    /// Called with each request; returns the bytes to send. "close" or "reset" at the end ends the
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
            const int number = ++connections;
            serve(socket, number);
        }
    }
    void serve(int socket, int number) {
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
            std::string out = answer_(text, number);
            text.clear();
            const bool ends = out.ends_with("close");
            const bool resets = out.ends_with("reset");
            out.resize(out.size() - (ends || resets ? 5 : 0));
            ::send(socket, out.data(), out.size(), MSG_NOSIGNAL);
            if (resets) {
                std::this_thread::sleep_for(50ms); // the bytes arrive before the reset
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

struct fixture {
    explicit fixture(const std::string& address)
        : link(std::make_shared<target_link>(loop, address, totals)) {}
    outcome ask(const std::string& id, bool careful = false) {
        outcome out;
        exchange::events events;
        events.on_head = [&](const edge::answer_head& head) { out.status = head.status; };
        events.on_body = [&](std::string&& piece) { out.body += piece; };
        events.on_complete = [&] {
            out.complete = true;
            loop.stop();
        };
        events.on_failed = [&](exchange_failure how) {
            out.failure = how;
            loop.stop();
        };
        auto one = link->send("GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: " + id + "\r\n\r\n", id, careful,
                              std::move(events));
        run(patience);
        return out;
    }
    void run(core::common::duration at_most) {
        auto limit = loop.schedule(edge_now() + at_most, [this] { loop.stop(); });
        loop.run();
        loop.cancel(limit);
        loop.resume();
    }
    core::common::time_point edge_now() { return loop.now(); }
    edge::event_loop loop;
    target_link::counters totals;
    std::shared_ptr<target_link> link;
};

} // namespace

TEST(target_link, a_connection_is_kept_for_the_next_request) {
    scripted_target target{[](const std::string& request, int) {
        return answer(request.find("r2") == std::string::npos ? "r1" : "r2", "body");
    }};
    fixture one{target.address};
    EXPECT_EQ(one.ask("r1").body, "body");
    EXPECT_TRUE(one.ask("r2").complete);
    EXPECT_EQ(target.connections, 1);
    EXPECT_EQ(one.totals.reused, 1U);
}

TEST(target_link, a_late_answer_to_an_earlier_request_is_skipped) {
    scripted_target target{[](const std::string& request, int) {
        return request.find("r2") == std::string::npos ? answer("r1", "first")
                                                       : answer("r1", "first again") + answer("r2", "second");
    }};
    fixture one{target.address};
    ASSERT_TRUE(one.ask("r1").complete);
    const auto second = one.ask("r2");
    EXPECT_EQ(second.body, "second");
    EXPECT_TRUE(second.complete);
}

TEST(target_link, bytes_behind_a_whole_answer_cost_the_connection_not_the_answer) {
    scripted_target target{[](const std::string& request, int) {
        return request.find("r2") == std::string::npos ? answer("r1", "first") + answer("r1", "again")
                                                       : answer("r2", "second");
    }};
    fixture one{target.address};
    EXPECT_EQ(one.ask("r1").body, "first");
    EXPECT_EQ(one.ask("r2").body, "second");
    EXPECT_EQ(target.connections, 2);
}

// libcurl would send the request a second time here.
TEST(target_link, a_kept_connection_that_dies_before_the_answer_is_not_tried_again) {
    scripted_target target{[](const std::string& request, int) {
        return request.find("r2") == std::string::npos ? answer("r1", "first") : std::string{"close"};
    }};
    fixture one{target.address};
    ASSERT_TRUE(one.ask("r1").complete);
    const auto second = one.ask("r2");
    ASSERT_TRUE(second.failure.has_value());
    EXPECT_EQ(*second.failure, exchange_failure::broken);
    EXPECT_EQ(target.requests, 2);
}

TEST(target_link, what_may_not_be_repeated_goes_on_a_connection_that_is_surely_alive) {
    scripted_target target{[](const std::string& request, int) {
        return answer(request.find("r2") == std::string::npos ? "r1" : "r2", "b",
                      "Keep-Alive: timeout=1\r\n");
    }};
    fixture one{target.address};
    ASSERT_TRUE(one.ask("r1").complete);
    one.run(500ms); // over four tenths of the time that the connection is kept
    EXPECT_TRUE(one.ask("r2", true).complete);
    EXPECT_EQ(one.totals.reused, 0U);
}

TEST(target_link, a_refused_connection_was_never_sent) {
    fixture one{"127.0.0.1:1"};
    const auto out = one.ask("r1");
    ASSERT_TRUE(out.failure.has_value());
    EXPECT_EQ(*out.failure, exchange_failure::not_sent);
    EXPECT_EQ(one.link->open_count(), 0);
}

struct broken_answer {
    const char* name;
    std::string bytes;
    exchange_failure failure;
};

TEST(target_link, answers_that_end_early_or_are_none_fail) {
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
    for (const broken_answer& one : cases) {
        scripted_target target{[&](const std::string&, int) { return one.bytes; }};
        fixture caller{target.address};
        const auto out = caller.ask("r1");
        ASSERT_TRUE(out.failure.has_value()) << one.name;
        EXPECT_EQ(*out.failure, one.failure) << one.name;
        EXPECT_FALSE(out.complete) << one.name;
        EXPECT_EQ(caller.link->open_count(), 0) << one.name;
    }
}

TEST(target_link, a_body_without_length_that_ends_in_order_is_whole) {
    scripted_target target{[](const std::string&, int) {
        return std::string{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nabcclose"};
    }};
    fixture one{target.address};
    const auto out = one.ask("r1");
    EXPECT_TRUE(out.complete);
    EXPECT_EQ(out.body, "abc");
}
