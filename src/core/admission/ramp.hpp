/// Concurrency limit of one target (slow start): low after a start or when the target is cold, then raised
/// with successful requests.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>

namespace waxwinglb::core::admission {

struct ramp_options {
    int full = 16;                          // limit of a warm target, requests
    int start = 2;                          // limit after a restart or when cold, requests
    common::milliseconds step_every{1'000}; // minimum time between two increases by one
    double jump_factor = 8.0; // cold if the first-token latency exceeds its average by this factor
    common::milliseconds jump_at_least{250}; // latencies up to this never mean cold
};

class ramp {
public:
    explicit ramp(ramp_options options) : options_(options), limit_(options.start) {}

    void observe_boot(std::int64_t boot, common::time_point now); // a new boot number restarts the ramp
    void observe_cold(bool cold, common::time_point now);         // as reported by the target
    void failed(common::time_point now);                          // no increase for one step
    void succeeded(common::duration first_token, common::time_point now);

    [[nodiscard]] int limit() const { return limit_; }

private:
    void restart(common::time_point now);

    ramp_options options_;
    int limit_;
    std::int64_t boot_ = 0;
    bool cold_ = false;
    double average_ms_ = 0; // moving average of first-token latency; 0: unknown
    common::time_point grow_at_{};
};

} // namespace waxwinglb::core::admission
