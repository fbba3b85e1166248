// Connections on the event loop: reading that is paused while other connections come and go.
#include "edge/connection.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace waxwinglb;
using namespace std::chrono_literals;

namespace {

constexpr int base_descriptor = 200; // above all that a test process has open

/// A connection on the given descriptor, and the peer's end of it.
struct connected {
    connected(edge::event_loop& loop, int descriptor) {
        std::array<int, 2> ends{};
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
        EXPECT_EQ(::fcntl(ends[0], F_DUPFD, descriptor), descriptor);
        ::close(ends[0]);
        peer = ends[1];
        edge::connection::events handlers;
        handlers.on_data = [this](std::string_view bytes) { received += bytes; };
        connection = edge::connection::adopt(loop, descriptor, std::move(handlers));
    }
    ~connected() {
        connection->close();
        ::close(peer);
    }
    connected(const connected&) = delete;
    connected& operator=(const connected&) = delete;
    connected(connected&&) = delete;
    connected& operator=(connected&&) = delete;

    void send_from_peer(std::string_view bytes) const {
        EXPECT_EQ(::write(peer, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
    }

    std::shared_ptr<edge::connection> connection;
    int peer = -1;
    std::string received;
};

void run_for(edge::event_loop& loop, core::common::milliseconds length) {
    loop.resume();
    loop.schedule(loop.now() + length, [&] { loop.stop(); });
    loop.run();
}

} // namespace

TEST(connection, one_that_is_closed_while_paused_leaves_its_descriptor_usable) {
    edge::event_loop loop;
    std::shared_ptr<edge::connection> closed; // its address isn't given to the next one
    {
        connected paused{loop, base_descriptor};
        connected highest{loop, base_descriptor + 1};
        paused.connection->pause_reading();
        highest.connection->close();
        closed = paused.connection;
    }
    connected next{loop, base_descriptor};
    next.send_from_peer("next");
    run_for(loop, 50ms);
    EXPECT_EQ(next.received, "next");
}

TEST(connection, one_that_is_paused_reads_on_after_connections_opened_later_are_closed) {
    edge::event_loop loop;
    connected paused{loop, base_descriptor};
    connected highest{loop, base_descriptor + 1};
    paused.connection->pause_reading();
    paused.send_from_peer("later");
    highest.connection->close();
    run_for(loop, 20ms);
    EXPECT_EQ(paused.received, "");
    paused.connection->resume_reading();
    run_for(loop, 50ms);
    EXPECT_EQ(paused.received, "later");
}

TEST(connection, the_end_of_its_peer_is_seen_before_it_is_read) {
    edge::event_loop loop;
    connected one{loop, base_descriptor};
    EXPECT_FALSE(one.connection->peer_has_closed());
    ::shutdown(one.peer, SHUT_WR);
    EXPECT_TRUE(one.connection->peer_has_closed());
}

TEST(connection, a_paused_one_still_sends_what_its_peer_takes_later) {
    edge::event_loop loop;
    connected paused{loop, base_descriptor};
    paused.connection->pause_reading();
    const std::string sent(1'000'000, 'x');
    paused.connection->send(sent);
    std::size_t taken = 0;
    std::string bytes(64U << 10U, '\0');
    for (int round = 0; round < 200 && taken < sent.size(); ++round) {
        for (ssize_t count = 0; (count = ::read(paused.peer, bytes.data(), bytes.size())) > 0;)
            taken += static_cast<std::size_t>(count);
        run_for(loop, 2ms);
    }
    EXPECT_EQ(taken, sent.size());
    EXPECT_EQ(paused.connection->unsent(), 0U);
}
