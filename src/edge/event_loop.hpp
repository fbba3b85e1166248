/// Single-threaded event loop for sockets, timers and tasks posted by other threads, on ACE's select reactor.
///
/// Timers use the boot clock, as ACE's own timers follow the time of day, which may be stepped. The thread
/// that calls run() owns the reactor.
#pragma once

#include "core/common/time.hpp"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace waxwinglb::edge {

class event_loop : private ACE_Event_Handler {
public:
    using task = std::function<void()>;
    using timer_id = std::pair<core::common::time_point, std::uint64_t>; // default: no timer

    explicit event_loop(std::size_t posted_capacity = 16'384); // limit of posted tasks not yet run
    ~event_loop() override;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    void run();                          // returns after stop()
    void stop() { stopping_ = true; }    // only from the loop's thread; others post it
    void resume() { stopping_ = false; } // allows another run() after stop()

    timer_id schedule(core::common::time_point at, task work); // runs `work` once, at or soon after `at`
    void cancel(timer_id& timer);                              // no effect if it already ran; resets `timer`
    bool post(task work);                                      // from any thread; false if the queue is full

    /// Destroys the tasks that have not run, one at a time: what a task holds may cancel others meanwhile.
    /// For owners whose tasks hold what refers to other parts: call it while these exist.
    void discard_tasks();

    /// Time at which the current iteration of the loop began, or, while handlers of sockets run, at which the
    /// wait for them ended.
    [[nodiscard]] core::common::time_point now() const { return now_; }
    ACE_Reactor& reactor() { return *reactor_; }

private:
    int handle_exception(ACE_HANDLE) override; // wakes the loop for posted tasks
    void run_posted();
    void run_timers();

    std::unique_ptr<ACE_Reactor> reactor_;
    std::map<timer_id, task> timers_;
    std::uint64_t last_timer_ = 0;
    core::common::time_point now_;
    bool stopping_ = false;
    std::mutex mutex_;
    std::vector<task> posted_;
    std::size_t posted_capacity_;
};

} // namespace waxwinglb::edge
