/// Rate at which the waiting requests of one queue are sent to targets.
///
/// It is measured only while requests wait: a queue that is empty most of the time is not slow. The estimate
/// forgets with a time constant of two seconds, as demand and the targets that hold a model change within
/// seconds.
#pragma once

#include "core/common/time.hpp"

#include <optional>

namespace waxwinglb::core::dispatch {

class drain_rate {
public:
    /// Requests do or don't wait from now on.
    void note_waiting(bool any, common::time_point now);
    void note_sent(common::time_point now);
    /// Requests per second; nullopt while too little of a non-empty queue has been seen.
    [[nodiscard]] std::optional<double> per_second(common::time_point now) const;

private:
    void age(common::time_point now);

    double sent_ = 0;           // decayed count
    double waited_seconds_ = 0; // decayed time with requests waiting
    bool waiting_ = false;
    common::time_point aged_at_{};
};

/// Time until a request starts that has `ahead` requests of its queue before it. nullopt if the rate is
/// unknown; `longest` if the queue does not move.
[[nodiscard]] std::optional<common::duration> expected_wait(int ahead, std::optional<double> per_second,
                                                            common::duration longest);

} // namespace waxwinglb::core::dispatch
