// The event loop: order of timers, tasks posted by other threads, that no timer can starve them, and its end.
// How connections on it close.
#include "edge/boot_clock.hpp"
#include "edge/connection.hpp"
#include "edge/event_loop.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace waxwinglb;
using namespace std::chrono_literals;

TEST(event_loop, timers_run_in_order_and_cancelled_ones_do_not) {
    edge::event_loop loop;
    std::string order;
    const auto now = loop.now();
    loop.schedule(now + 20ms, [&] { order += "b"; });
    loop.schedule(now + 10ms, [&] { order += "a"; });
    auto cancelled = loop.schedule(now + 15ms, [&] { order += "x"; });
    loop.cancel(cancelled);
    loop.schedule(now + 30ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(order, "ab");
}

// Guards against starvation: a request past its deadline rescheduled its timer for now again and again, and
// the process hung.
TEST(event_loop, a_timer_that_reschedules_itself_for_now_does_not_starve_tasks) {
    edge::event_loop loop;
    int runs = 0;
    std::function<void()> reschedule = [&] {
        if (++runs < 1'000'000)
            loop.schedule(loop.now(), reschedule);
    };
    loop.schedule(loop.now(), reschedule);
    loop.post([&] { loop.post([&] { loop.stop(); }); });
    loop.run();
    EXPECT_LT(runs, 1'000);
}

TEST(event_loop, a_full_queue_refuses_posted_tasks) {
    edge::event_loop loop{2};
    int ran = 0;
    std::thread{[&] {
        EXPECT_TRUE(loop.post([&] { ++ran; }));
        EXPECT_TRUE(loop.post([&] { loop.stop(); }));
        EXPECT_FALSE(loop.post([&] { ++ran; }));
    }}.join();
    loop.run();
    EXPECT_EQ(ran, 1);
}

namespace {

/// Ends the loop when its socket becomes readable, and notes the loop's time then.
struct readable_socket : ACE_Event_Handler {
    edge::event_loop& loop;
    int socket;
    core::common::time_point seen_at{};
    readable_socket(edge::event_loop& used, int watched) : loop(used), socket(watched) {
        loop.reactor().register_handler(this, READ_MASK);
    }
    readable_socket(const readable_socket&) = delete;
    readable_socket& operator=(const readable_socket&) = delete;
    readable_socket(readable_socket&&) = delete;
    readable_socket& operator=(readable_socket&&) = delete;
    ~readable_socket() override { loop.reactor().remove_handler(this, READ_MASK | DONT_CALL); }
    ACE_HANDLE get_handle() const override { return socket; }
    int handle_input(ACE_HANDLE) override {
        seen_at = loop.now();
        loop.stop();
        return 0;
    }
};

/// Cancels a timer when it is destroyed, as connections and links do.
struct cancels_when_destroyed {
    edge::event_loop& loop;
    edge::event_loop::timer_id timer;
    std::size_t& destroyed;
    cancels_when_destroyed(edge::event_loop& used, std::size_t& counter) : loop(used), destroyed(counter) {}
    cancels_when_destroyed(const cancels_when_destroyed&) = delete;
    cancels_when_destroyed& operator=(const cancels_when_destroyed&) = delete;
    cancels_when_destroyed(cancels_when_destroyed&&) = delete;
    cancels_when_destroyed& operator=(cancels_when_destroyed&&) = delete;
    ~cancels_when_destroyed() {
        ++destroyed;
        loop.cancel(timer);
    }
};

} // namespace

TEST(event_loop, a_socket_that_becomes_readable_after_a_long_wait_does_not_see_the_time_before_it) {
    constexpr auto wait = 300ms;
    edge::event_loop loop;
    std::array<int, 2> pair{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair.data()), 0);
    readable_socket reader{loop, pair[0]};
    const auto began = edge::boot_now();
    std::thread writer{[&] {
        std::this_thread::sleep_for(wait);
        EXPECT_EQ(::write(pair[1], "x", 1), 1);
    }};
    loop.run();
    writer.join();
    EXPECT_GE(reader.seen_at - began, wait);
    ::close(pair[0]);
    ::close(pair[1]);
}

TEST(event_loop, ends_while_timers_hold_what_cancels_timers_when_destroyed) {
    constexpr std::size_t count = 100;
    std::size_t destroyed = 0;
    {
        edge::event_loop loop;
        std::vector<std::shared_ptr<cancels_when_destroyed>> made;
        for (std::size_t number = 0; number < count; ++number)
            made.push_back(std::make_shared<cancels_when_destroyed>(loop, destroyed));
        for (std::size_t number = 0; number < count; ++number) {
            const auto timer = loop.schedule(loop.now() + 1h, [self = made[number]] { FAIL(); });
            made[number * 37 % count]->timer = timer; // its own, or another's
        }
        loop.post([self = made.front()] { FAIL(); });
    }
    EXPECT_EQ(destroyed, count);
}

TEST(event_loop, ends_while_connections_of_callers_that_do_not_close_linger) {
    constexpr int count = 100;
    std::array<int, count> peers{};
    {
        edge::event_loop loop;
        for (int& peer : peers) {
            std::array<int, 2> pair{};
            ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair.data()), 0);
            peer = pair[1];
            const auto lingering = edge::connection::adopt(loop, pair[0], {});
            lingering->send("answer");
            lingering->close_when_sent();
        }
    }
    for (const int peer : peers) {
        std::array<char, 16> bytes{};
        EXPECT_EQ(::recv(peer, bytes.data(), bytes.size(), 0), 6);
        EXPECT_EQ(::recv(peer, bytes.data(), bytes.size(), 0), 0) << "the connection is closed";
        ::close(peer);
    }
}

TEST(connection, closing_does_not_cut_the_answer_of_a_peer_that_reads_slowly) {
    constexpr std::size_t answer_size = 8'000'000;
    constexpr auto read_interval = 20ms; // the whole answer takes at least 2.4 s
    edge::event_loop loop;
    std::array<int, 2> pair{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair.data()), 0);
    const auto closing = edge::connection::adopt(loop, pair[0], {});
    closing->send(std::string(answer_size, 'x'));
    closing->close_when_sent();
    std::size_t received = 0;
    std::vector<char> bytes(64U << 10U);
    std::function<void()> read = [&] {
        const auto count = ::recv(pair[1], bytes.data(), bytes.size(), 0);
        if (count == 0)
            return loop.stop();
        received += count > 0 ? static_cast<std::size_t>(count) : 0;
        loop.schedule(loop.now() + read_interval, read);
    };
    read();
    loop.run();
    ::close(pair[1]);
    EXPECT_EQ(received, answer_size);
}

TEST(connection, closing_does_not_wait_for_a_peer_that_takes_nothing) {
    edge::event_loop loop;
    std::array<int, 2> pair{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair.data()), 0);
    edge::connection::events handlers;
    handlers.on_closed = [&](edge::close_reason) { loop.stop(); };
    const auto closing = edge::connection::adopt(loop, pair[0], std::move(handlers));
    closing->send(std::string(8'000'000, 'x'));
    closing->close_when_sent();
    loop.run();
    EXPECT_FALSE(closing->open());
    ::close(pair[1]);
}

TEST(event_loop, a_timer_that_holds_the_last_reference_to_its_owner_can_be_cancelled) {
    edge::event_loop loop;
    std::size_t destroyed = 0;
    auto made = std::make_shared<cancels_when_destroyed>(loop, destroyed);
    auto* const raw = made.get();
    raw->timer = loop.schedule(loop.now() + 1h, [held = std::move(made)] { FAIL(); });
    loop.cancel(raw->timer);
    EXPECT_EQ(destroyed, 1U);
}

TEST(boot_clock, is_monotonic) {
    const auto first = edge::boot_now();
    EXPECT_GE(edge::boot_now(), first);
}
