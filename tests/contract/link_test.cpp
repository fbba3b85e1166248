// Contract tests of links: frames arrive whole and in order, hostile ones close the link, silence ends it.
#include "edge/link.hpp"
#include "edge/ring.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 20s; // ends a hung test; no verdict depends on its length

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
        auto event = events.pop_until(core::common::clock::now() + patience);
        EXPECT_TRUE(event.has_value()) << "no event came";
        return event.value_or(edge::link_event{});
    }
    edge::ring<edge::link_event> events;
    edge::link_hub hub;
};

} // namespace

TEST(link, frames_arrive_in_order_and_answers_carry_the_call) {
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

TEST(link, outbound_link_opens_again_after_its_peer_restarts) {
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

TEST(codec, truncated_and_hostile_frames_are_refused) {
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
