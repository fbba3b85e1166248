#include "standins/platform/weight_store.hpp"

#include <algorithm>

namespace waxwinglb::standins::platform {

using core::common::duration;
using core::common::time_point;

namespace {
constexpr double completion_tolerance = 1e-9; // rounding error at the end of a read
} // namespace

double weight_store::rate_per_read() const {
    return rate_.loads_per_second /
           static_cast<double>(std::max<std::size_t>(rate_.full_speed_reads, remaining_.size()));
}

void weight_store::advance(time_point now) {
    const std::chrono::duration<double> passed = now - advanced_to_;
    advanced_to_ = now;
    const double step = passed.count() * rate_per_read();
    for (auto& [id, remaining] : remaining_)
        remaining -= step;
}

read_id weight_store::begin(time_point now) {
    advance(now);
    remaining_[++last_id_] = 1;
    return last_id_;
}

void weight_store::cancel(read_id id, time_point now) {
    advance(now);
    remaining_.erase(id);
}

std::vector<read_id> weight_store::take_finished(time_point now) {
    advance(now);
    std::vector<read_id> out;
    for (const auto& [id, remaining] : remaining_)
        if (remaining <= completion_tolerance)
            out.push_back(id);
    for (const read_id id : out)
        remaining_.erase(id);
    return out;
}

time_point weight_store::next_completion(time_point now) const {
    if (remaining_.empty())
        return now + std::chrono::hours{1};
    const auto nearest = std::min_element(remaining_.begin(), remaining_.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; });
    const std::chrono::duration<double> wait{std::max(0.0, nearest->second) / rate_per_read()};
    return std::max(now, advanced_to_ + std::chrono::duration_cast<duration>(wait) + duration{1});
}

} // namespace waxwinglb::standins::platform
