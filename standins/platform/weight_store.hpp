/// Rate of the weight store: a few reads at full speed, slower beyond, the sum bounded.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace waxwinglb::standins::platform {

using read_id = std::uint64_t;

struct weight_rate {
    double loads_per_second = 4; // over all reads together
    int at_once = 4;             // reads that run at full speed; more share the rate evenly
};

/// Processor sharing: each read is one unit of work.
class weight_store {
public:
    explicit weight_store(weight_rate rate) : rate_(rate) {}

    read_id begin(core::common::time_point now);
    void abandon(read_id id, core::common::time_point now);      // reader gone
    std::vector<read_id> finished(core::common::time_point now); // reads that have ended; each is told once

    /// When the next read ends if nothing changes; far ahead without reads.
    [[nodiscard]] core::common::time_point next_end(core::common::time_point now) const;
    [[nodiscard]] std::size_t running() const { return left_.size(); }

private:
    [[nodiscard]] double speed() const; // of each read, loads a second
    void advance(core::common::time_point now);

    weight_rate rate_;
    std::map<read_id, double> left_; // work left, 1 at the beginning
    core::common::time_point advanced_to_{};
    read_id last_ = 0;
};

} // namespace waxwinglb::standins::platform
