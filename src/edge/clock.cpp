#include "edge/clock.hpp"

#include <algorithm>
#include <chrono>

namespace waxwinglb::edge {
namespace {

constexpr int counter_bits = 16;
constexpr std::int64_t max_ahead_ms = 60'000; // stamps further ahead of the wall clock are ignored

std::int64_t wall_stamp() {
    using namespace std::chrono;
    const auto ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    return ms << counter_bits;
}

} // namespace

hybrid_clock& hybrid_clock::process() {
    static hybrid_clock instance;
    return instance;
}

std::int64_t hybrid_clock::tick() {
    std::int64_t previous = last_.load();
    std::int64_t next = 0;
    do {
        next = std::max(previous + 1, wall_stamp());
    } while (!last_.compare_exchange_weak(previous, next));
    return next;
}

void hybrid_clock::observe(std::int64_t stamp) {
    if (stamp > wall_stamp() + (max_ahead_ms << counter_bits))
        return;
    std::int64_t previous = last_.load();
    while (previous < stamp && !last_.compare_exchange_weak(previous, stamp)) {
    }
}

} // namespace waxwinglb::edge
