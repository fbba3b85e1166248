#include "core/dispatch/drain_rate.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::dispatch {
namespace {

constexpr double time_constant_s = 2.0;
constexpr double min_waited_seconds = 0.4; // of a non-empty queue, for an estimate

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void drain_rate::age(common::time_point now) {
    const double kept = std::exp(-seconds(now - aged_at_) / time_constant_s);
    sent_ *= kept;
    waited_seconds_ = waited_seconds_ * kept + (waiting_ ? time_constant_s * (1 - kept) : 0);
    aged_at_ = now;
}

void drain_rate::note_waiting(bool any, common::time_point now) {
    age(now);
    waiting_ = any;
}

void drain_rate::note_sent(common::time_point now) {
    age(now);
    if (waiting_)
        sent_ += 1;
}

std::optional<double> drain_rate::per_second(common::time_point now) const {
    drain_rate aged = *this;
    aged.age(now);
    if (aged.waited_seconds_ < min_waited_seconds)
        return std::nullopt;
    return aged.sent_ / aged.waited_seconds_;
}

std::optional<common::duration> expected_wait(int ahead, std::optional<double> per_second,
                                              common::duration longest) {
    if (!per_second)
        return std::nullopt;
    const double wait = (ahead + 1) / std::max(*per_second, 1e-6);
    return wait >= seconds(longest)
               ? longest
               : std::chrono::duration_cast<common::duration>(std::chrono::duration<double>{wait});
}

} // namespace waxwinglb::core::dispatch
