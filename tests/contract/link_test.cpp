// Contract tests of links: frames arrive complete and in order; malformed frames and silence close the link.
#include "edge/link.hpp"
#include "edge/ring.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace waxwinglb;
using namespace std::chrono_literals;

namespace {

constexpr auto test_timeout = 20s; // ends a hung test; no result depends on its length

struct endpoint {
    explicit endpoint(const std::string& name)
        : events(100'000),
          hub(options(name), [this](edge::link_event&& event) { events.push(std::move(event)); }) {}
    static edge::link_options options(const std::string& name) {
        edge::link_options out;
        out.self.__set_process(name);
        out.self.__set_role("test");
        return out;
    }
    edge::link_event next() {
        auto event = events.pop_until(core::common::clock::now() + test_timeout);
        EXPECT_TRUE(event.has_value()) << "no event came";
        return event.value_or(edge::link_event{});
    }
    edge::ring<edge::link_event> events;
    edge::link_hub hub;
};

/// A plain TCP socket in place of a peer, which can send bytes that no link would send.
struct raw_peer {
    explicit raw_peer(std::uint16_t port) : handle(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in remote{};
        remote.sin_family = AF_INET;
        remote.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        remote.sin_port = htons(port);
        EXPECT_EQ(::connect(handle, reinterpret_cast<sockaddr*>(&remote), sizeof remote), 0);
        const timeval limit{20, 0};
        ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    ~raw_peer() { ::close(handle); }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;
    raw_peer(raw_peer&&) = delete;
    raw_peer& operator=(raw_peer&&) = delete;
    void send_bytes(const std::string& bytes) const {
        EXPECT_EQ(::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }
    /// Returns true once the other end has closed; bytes received before are discarded.
    bool closed_by_peer() const {
        std::array<char, 4096> buffer{};
        ssize_t got = 1;
        while (got > 0)
            got = ::recv(handle, buffer.data(), buffer.size(), 0);
        return got == 0 || errno == ECONNRESET;
    }
    int handle;
};

std::string hello_frame() {
    return edge::encode_frame(wire::message_kind::hello, 0, wire::hello{});
}

} // namespace

TEST(link, frames_arrive_in_order_and_answers_carry_the_call_number) {
    endpoint server{"server"};
    endpoint client{"client"};
    const auto port = server.hub.listen("127.0.0.1:0");
    ASSERT_NE(port, 0);
    server.hub.start();
    client.hub.start();
    const auto link = client.hub.connect("127.0.0.1:" + std::to_string(port));
    ASSERT_EQ(client.next().kind, edge::link_event_kind::opened);
    const auto opened = server.next();
    ASSERT_EQ(opened.peer.process, "client");
    constexpr int count = 2'000;
    for (int i = 0; i < count; ++i) {
        wire::run_chunk chunk;
        chunk.__set_offset(i);
        chunk.__set_data(std::string(100, 'x'));
        client.hub.send(link, wire::message_kind::run_chunk, i, chunk);
    }
    for (int i = 0; i < count; ++i) {
        const auto event = server.next();
        ASSERT_EQ(event.frame.header.call, i);
        const auto chunk = edge::decode_body<wire::run_chunk>(event.frame.body);
        ASSERT_TRUE(chunk.has_value());
        ASSERT_EQ(chunk->offset, i);
    }
    server.hub.send(opened.link, wire::message_kind::ack_request, 7, wire::ack_request{});
    EXPECT_EQ(client.next().frame.header.call, 7);
}

TEST(link, an_outbound_link_reopens_after_its_peer_restarts) {
    endpoint client{"client"};
    client.hub.start();
    auto server = std::make_unique<endpoint>("server");
    const auto port = server->hub.listen("127.0.0.1:0");
    ASSERT_NE(port, 0);
    server->hub.start();
    const std::string address = "127.0.0.1:" + std::to_string(port);
    const auto link = client.hub.connect(address);
    ASSERT_EQ(client.next().kind, edge::link_event_kind::opened);
    server.reset();
    ASSERT_EQ(client.next().kind, edge::link_event_kind::closed);
    server = std::make_unique<endpoint>("server");
    ASSERT_EQ(server->hub.listen(address), port);
    server->hub.start();
    const auto again = client.next();
    EXPECT_EQ(again.kind, edge::link_event_kind::opened);
    EXPECT_EQ(again.link, link);
}

TEST(codec, truncated_and_malformed_frames_are_refused) {
    wire::run_request request;
    request.__set_request_id("r-1");
    request.__set_body(std::string(50, 'b'));
    const std::string whole = edge::encode_frame(wire::message_kind::run_request, 3, request);
    const auto good = edge::decode_frame(std::string_view{whole}.substr(4));
    ASSERT_TRUE(good.has_value());
    ASSERT_TRUE(edge::decode_body<wire::run_request>(good->body).has_value());
    for (std::size_t length = 0; length < good->body.size(); ++length)
        EXPECT_FALSE(edge::decode_body<wire::run_request>(good->body.substr(0, length)).has_value())
            << length;
    EXPECT_FALSE(edge::decode_body<wire::run_request>(good->body + "x").has_value());
    EXPECT_FALSE(edge::decode_body<wire::run_request>("\x1b\xff\xff\xff\xff\x0f").has_value());
}

TEST(link, a_silent_link_is_closed) {
    endpoint server{"server"};
    const auto port = server.hub.listen("127.0.0.1:0");
    server.hub.start();
    const raw_peer peer{port};
    peer.send_bytes(hello_frame());
    ASSERT_EQ(server.next().kind, edge::link_event_kind::opened);
    // The peer sends nothing more, not even heartbeat acks, but keeps the connection open.
    const auto event = server.next();
    EXPECT_EQ(event.kind, edge::link_event_kind::closed);
    EXPECT_EQ(event.why.step, "heartbeat");
}

TEST(link, malformed_input_closes_only_its_own_link) {
    const std::vector<std::pair<const char*, std::string>> cases{
        {"a length over the limit", hello_frame() + std::string("\xff\xff\xff\xff", 4)},
        {"a frame without a header", hello_frame() + std::string("\0\0\0\2zz", 6)},
        {"an empty frame", hello_frame() + std::string(4, '\0')},
        {"a message before hello",
         edge::encode_frame(wire::message_kind::ack_request, 1, wire::ack_request{})},
        {"a second hello", hello_frame() + hello_frame()},
        {"HTTP", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
    };
    endpoint server{"server"};
    endpoint client{"client"};
    const auto port = server.hub.listen("127.0.0.1:0");
    server.hub.start();
    client.hub.start();
    const auto link = client.hub.connect("127.0.0.1:" + std::to_string(port));
    ASSERT_EQ(client.next().kind, edge::link_event_kind::opened);
    ASSERT_EQ(server.next().peer.process, "client");
    for (const auto& [name, bytes] : cases) {
        const raw_peer peer{port};
        peer.send_bytes(bytes);
        EXPECT_TRUE(peer.closed_by_peer()) << name;
    }
    client.hub.send(link, wire::message_kind::ack_request, 42, wire::ack_request{});
    auto event = server.next();
    while (event.kind != edge::link_event_kind::message)
        event = server.next();
    EXPECT_EQ(event.frame.header.call, 42);
}
