#include "core/load_planning/store_load_limit.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::load_planning {
namespace {

using common::milliseconds;
using common::time_point;

// A report shows the end of a load up to a second late; a load of 6 s beside one too many takes 7.5 s.
constexpr double slow_from = 1.35; // times the expected load time
constexpr double fast_until = 1.2;
constexpr milliseconds raise_pause{20'000}; // until the limit is raised by one again

} // namespace

int store_load_limit::limit(int most) const {
    return learned_ == 0 ? most : std::min(learned_, most);
}

void store_load_limit::note_finished(milliseconds expected_time, milliseconds taken, int most,
                                     time_point now) {
    if (expected_time.count() <= 0)
        return;
    const int running = limit(most);
    const double slowness = static_cast<double>(taken.count()) / static_cast<double>(expected_time.count());
    // Loads that ran at the same time show the same slowdown: the limit is lowered once for all of them.
    const bool already_counted = learned_ != 0 && now - changed_at_ < taken;
    if (slowness >= slow_from && !already_counted) {
        learned_ = std::max(1, static_cast<int>(std::lround(running / slowness)));
        changed_at_ = now;
    } else if (slowness <= fast_until && running < most && now - changed_at_ >= raise_pause) {
        learned_ = running + 1;
        changed_at_ = now;
    }
}

} // namespace waxwinglb::core::load_planning
