#include "standins/platform/weight_store.hpp"

#include <algorithm>

namespace waxwinglb::standins::platform {

using core::common::duration;
using core::common::time_point;

namespace {
constexpr double done_below = 1e-9; // rounding left over at the end of a read
} // namespace

double weight_store::speed() const {
    return rate_.loads_per_second / static_cast<double>(std::max<std::size_t>(rate_.at_once, left_.size()));
}

void weight_store::advance(time_point now) {
    const std::chrono::duration<double> passed = now - advanced_to_;
    advanced_to_ = now;
    const double step = passed.count() * speed();
    for (auto& [id, left] : left_)
        left -= step;
}

read_id weight_store::begin(time_point now) {
    advance(now);
    left_[++last_] = 1;
    return last_;
}

void weight_store::abandon(read_id id, time_point now) {
    advance(now);
    left_.erase(id);
}

std::vector<read_id> weight_store::finished(time_point now) {
    advance(now);
    std::vector<read_id> out;
    for (const auto& [id, left] : left_)
        if (left <= done_below)
            out.push_back(id);
    for (const read_id id : out)
        left_.erase(id);
    return out;
}

time_point weight_store::next_end(time_point now) const {
    if (left_.empty())
        return now + std::chrono::hours{1};
    const auto least = std::min_element(left_.begin(), left_.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    const std::chrono::duration<double> wait{std::max(0.0, least->second) / speed()};
    return std::max(now, advanced_to_ + std::chrono::duration_cast<duration>(wait) + duration{1});
}

} // namespace waxwinglb::standins::platform
