#include "edge/event_loop.hpp"

#include "edge/boot_clock.hpp"

#include <ace/Select_Reactor.h>

#include <algorithm>

namespace waxwinglb::edge {
namespace {

using core::common::time_point;

constexpr core::common::milliseconds longest_sleep{1'000}; // longest wait if no timer is due earlier

/// Reads the clock when a wait has ended, before the handlers of sockets run: the process may have slept or
/// been stopped meanwhile.
class clocked_reactor : public ACE_Select_Reactor {
public:
    explicit clocked_reactor(time_point& now) : now_(now) {}

private:
    int dispatch(int active_handles, ACE_Select_Reactor_Handle_Set& ready) override {
        if (active_handles > 0)
            now_ = boot_now();
        return ACE_Select_Reactor::dispatch(active_handles, ready);
    }
    time_point& now_;
};

} // namespace

event_loop::event_loop(std::size_t posted_capacity)
    : reactor_(std::make_unique<ACE_Reactor>(new clocked_reactor{now_}, true)), now_(boot_now()),
      posted_capacity_(posted_capacity) {}

event_loop::~event_loop() {
    discard_tasks();
    reactor_->purge_pending_notifications(this);
}

void event_loop::run() {
    reactor_->owner(ACE_OS::thr_self());
    while (!stopping_) {
        now_ = boot_now();
        run_posted();
        run_timers();
        if (stopping_)
            break;
        auto sleep = std::chrono::duration_cast<std::chrono::microseconds>(longest_sleep);
        if (!timers_.empty()) {
            const auto until = timers_.begin()->first.first - boot_now();
            sleep = std::min(sleep, std::chrono::ceil<std::chrono::microseconds>(until));
        }
        ACE_Time_Value wait;
        wait.set(std::chrono::duration<double>(std::max(sleep, std::chrono::microseconds{0})).count());
        reactor_->handle_events(wait);
    }
}

event_loop::timer_id event_loop::schedule(time_point at, task work) {
    const timer_id id{at, ++last_timer_};
    timers_.emplace(id, std::move(work));
    return id;
}

void event_loop::cancel(timer_id& timer) {
    // Destroyed after the map and `timer` have changed: the task may own `timer`, or cancel others.
    const auto cancelled = timers_.extract(timer);
    timer = {};
}

void event_loop::discard_tasks() {
    std::vector<task> posted;
    {
        const std::scoped_lock hold{mutex_};
        posted.swap(posted_);
    }
    while (!timers_.empty())
        const auto discarded = timers_.extract(timers_.begin());
}

bool event_loop::post(task work) {
    {
        const std::scoped_lock hold{mutex_};
        if (posted_.size() >= posted_capacity_)
            return false;
        posted_.push_back(std::move(work));
        if (posted_.size() > 1)
            return true; // the first task has already woken the loop
    }
    reactor_->notify(this, ACE_Event_Handler::EXCEPT_MASK);
    return true;
}

int event_loop::handle_exception(ACE_HANDLE) {
    run_posted();
    return 0;
}

void event_loop::run_posted() {
    std::vector<task> due;
    {
        const std::scoped_lock hold{mutex_};
        due.swap(posted_);
    }
    for (task& work : due)
        work();
}

void event_loop::run_timers() {
    // A timer that a callback schedules for now runs in the next iteration, after the sockets. Otherwise a
    // callback that keeps rescheduling itself would block the loop.
    const timer_id last{now_, last_timer_};
    while (!timers_.empty() && timers_.begin()->first <= last) {
        const task work = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        work();
    }
}

} // namespace waxwinglb::edge
