/// Rate limit of the weight store: a few reads run at full speed, more share the total rate.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace waxwinglb::standins::platform {

using read_id = std::uint64_t;

struct weight_rate {
    double loads_per_second = 4; // total over all reads
    int full_speed_reads = 4;    // concurrent reads at full speed; more share the total rate evenly
};

/// Processor-sharing queue in which each read is one unit of work.
class weight_store {
public:
    explicit weight_store(weight_rate rate) : rate_(rate) {}

    read_id begin(core::common::time_point now);
    void cancel(read_id id, core::common::time_point now);            // the reader has disconnected
    std::vector<read_id> take_finished(core::common::time_point now); // returns each ended read once

    /// When the next read ends if none is added or cancelled; one hour ahead if no read runs.
    [[nodiscard]] core::common::time_point next_completion(core::common::time_point now) const;
    [[nodiscard]] std::size_t running() const { return remaining_.size(); }

private:
    [[nodiscard]] double rate_per_read() const; // loads per second
    void advance(core::common::time_point now);

    weight_rate rate_;
    std::map<read_id, double> remaining_; // fraction of each read that remains, 1 at its start
    core::common::time_point advanced_to_{};
    read_id last_id_ = 0;
};

} // namespace waxwinglb::standins::platform
