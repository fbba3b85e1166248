// The event loop: order of timers, tasks posted by other threads, and that no timer can starve them.
#include "edge/boot_clock.hpp"
#include "edge/event_loop.hpp"

#include <gtest/gtest.h>

#include <thread>

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

TEST(boot_clock, is_monotonic) {
    const auto first = edge::boot_now();
    EXPECT_GE(edge::boot_now(), first);
}
