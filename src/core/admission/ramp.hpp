/// Concurrency limit of one target: a fresh or suddenly cold target starts low and earns more by succeeding.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>

namespace waxwinglb::core::admission {

struct ramp_options {
    int full = 16;                           // requests at once when warm
    int start = 2;                           // requests at once when fresh
    common::milliseconds step_every{1'000};  // the limit grows by one at most this often
    double jump_factor = 8.0;                // first-token latency over this many times the usual means cold
    common::milliseconds jump_at_least{250}; // shorter latencies never mean cold
};

class ramp {
public:
    explicit ramp(ramp_options options) : options_(options), limit_(options.start) {}

    void observe_boot(std::int64_t boot, common::time_point now); // another boot starts again
    void observe_cold(bool cold, common::time_point now);         // the target's own word
    void failed(common::time_point now);                          // no growth for one step
    void succeeded(common::duration first_token, common::time_point now);

    [[nodiscard]] int limit() const { return limit_; }

private:
    void restart(common::time_point now);

    ramp_options options_;
    int limit_;
    std::int64_t boot_ = 0;
    bool cold_ = false;
    double usual_ms_ = 0; // moving average of first-token latency; 0: not known yet
    common::time_point grow_at_{};
};

} // namespace waxwinglb::core::admission
