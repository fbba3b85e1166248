#include "core/admission/ramp.hpp"

#include <algorithm>

namespace waxwinglb::core::admission {
namespace {

constexpr double average_weight = 0.1; // weight of a new latency in the moving average

} // namespace

void ramp::observe_boot(std::int64_t boot, common::time_point now) {
    if (boot == boot_)
        return;
    boot_ = boot;
    restart(now);
}

/// The limit stays at its start value while the target reports that it is cold.
void ramp::observe_cold(bool cold, common::time_point now) {
    cold_ = cold;
    if (cold)
        restart(now);
}

void ramp::failed(common::time_point now) {
    grow_at_ = std::max(grow_at_, now + options_.step_every);
}

void ramp::succeeded(common::duration first_token, common::time_point now) {
    const double ms = std::chrono::duration<double, std::milli>(first_token).count();
    const double floor_ms = static_cast<double>(options_.jump_at_least.count());
    if (average_ms_ > 0 && ms > floor_ms && ms > average_ms_ * options_.jump_factor)
        return restart(now);
    average_ms_ = average_ms_ > 0 ? average_ms_ * (1 - average_weight) + ms * average_weight : ms;
    if (cold_ || now < grow_at_)
        return;
    limit_ = std::min(limit_ + 1, options_.full);
    grow_at_ = now + options_.step_every;
}

void ramp::restart(common::time_point now) {
    limit_ = std::min(options_.start, options_.full);
    average_ms_ = 0;
    grow_at_ = now + options_.step_every;
}

} // namespace waxwinglb::core::admission
