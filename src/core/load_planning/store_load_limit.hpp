/// Learns how many loads the weight store carries at once at full speed, from how long loads take.
///
/// The load that it answers: deployments differ in that number, and none tells it. Where more loads run at
/// once, each takes longer in proportion: nothing is gained, the first one comes later, and what was foretold
/// is wrong.
#pragma once

#include "core/common/time.hpp"

namespace waxwinglb::core::load_planning {

class store_load_limit {
public:
    /// Loads to run at once, at most `most` (a setting).
    [[nodiscard]] int limit(int most) const;
    /// A load is over that began while about `limit(most)` ran.
    void note_finished(common::milliseconds expected_time, common::milliseconds taken, int most,
                       common::time_point now);

private:
    int learned_ = 0; // 0: nothing yet
    common::time_point changed_at_{};
};

} // namespace waxwinglb::core::load_planning
