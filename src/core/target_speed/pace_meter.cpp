#include "core/target_speed/pace_meter.hpp"

namespace waxwinglb::core::target_speed {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

constexpr int min_pace_events = 8; // in one result
constexpr milliseconds min_pace_time{100};

} // namespace

std::optional<duration> pace_meter::add(int events, time_point now) {
    if (events_ < 0) {
        events_ = 0;
        since_ = now;
        return std::nullopt;
    }
    events_ += events;
    const duration passed = now - since_;
    if (events_ < min_pace_events || passed < min_pace_time)
        return std::nullopt;
    const duration each = passed / events_;
    events_ = 0;
    since_ = now;
    return each;
}

} // namespace waxwinglb::core::target_speed
