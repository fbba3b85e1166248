/// When to unload an idle replica: from the model's own gaps between requests and the preset's price.
#pragma once

#include "core/common/time.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>

namespace waxwinglb::core::placement {

/// Histogram of the gaps between a model's requests, in doubling bins, older ones counting less.
class gap_histogram {
public:
    static constexpr int bins = 16; // up to 1 s, 2 s, 4 s, ... 9 h and above

    void add(common::duration gap);

    [[nodiscard]] double weight() const; // decayed number of gaps seen
    [[nodiscard]] double weight_above(common::duration idle) const;
    [[nodiscard]] double weight_within(common::duration from, common::duration until) const;
    /// Expected requests a second of a model that has been idle for so long; 0 if nothing was seen.
    [[nodiscard]] double rate_after(common::duration idle) const;

    [[nodiscard]] nlohmann::json encode() const;
    void decode(const nlohmann::json& value); // malformed: stays as it is

private:
    std::array<double, bins> counts_{};
};

struct idle_cost {
    common::duration load_time{}; // what a cold start would cost
    double idle_price = 1;        // of the preset; >1 unloads sooner
    common::duration max_idle{};  // of the preset; never kept longer
    double memory_pressure = 0;   // 0 ... 1: how full the target's memory is
};

/// How long a replica should be kept after its last request: the idle time that costs least over the model's
/// gaps, where an idle second costs idle_price and a cold start its load time times a fixed weight.
[[nodiscard]] common::duration idle_limit(const gap_histogram& gaps, const idle_cost& cost);

} // namespace waxwinglb::core::placement
