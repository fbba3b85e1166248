/// Learns how many parallel loads the weight store serves at full speed, from how long loads take.
///
/// Deployments differ in that number, and none announces it. If more loads run in parallel, each takes
/// proportionally longer: the total throughput stays the same, the first load ends later, and the expected
/// load times are wrong.
#pragma once

#include "core/common/time.hpp"

namespace waxwinglb::core::load_planning {

class store_load_limit {
public:
    /// Number of loads to run in parallel, at most `most` (a setting).
    [[nodiscard]] int limit(int most) const;
    /// Records a finished load that started while about `limit(most)` loads were running.
    void note_finished(common::milliseconds expected_time, common::milliseconds taken, int most,
                       common::time_point now);

private:
    int learned_ = 0; // 0: nothing learned yet, the setting applies
    common::time_point changed_at_{};
};

} // namespace waxwinglb::core::load_planning
