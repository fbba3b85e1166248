/// Decides when to unload an idle replica, from the gaps between the model's requests and the preset's price.
#pragma once

#include "core/common/time.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>

namespace waxwinglb::core::placement {

/// Histogram of the gaps between a model's requests, in bins of doubling width; older gaps weigh less.
class gap_histogram {
public:
    static constexpr int bins = 16; // up to 1 s, 2 s, 4 s, ... 9 h and above

    void add(common::duration gap);

    [[nodiscard]] double weight() const; // number of gaps seen, decayed
    [[nodiscard]] double weight_above(common::duration idle) const;
    [[nodiscard]] double weight_within(common::duration from, common::duration until) const;
    /// Expected requests per second of a model that has been idle for `idle`; 0 if no longer gap was seen.
    [[nodiscard]] double rate_after(common::duration idle) const;

    [[nodiscard]] nlohmann::json encode() const;
    void decode(const nlohmann::json& value); // if malformed, keeps the current counts

private:
    std::array<double, bins> counts_{};
};

struct idle_cost {
    common::duration load_time{}; // what a cold start would cost
    double idle_price = 1;        // from the preset; >1 unloads sooner
    common::duration max_idle{};  // from the preset; a replica is never kept longer
    double memory_pressure = 0;   // 0 to 1: how full the target's memory is
};

/// How long to keep a replica after its last request: the time with the lowest expected cost over the model's
/// gaps. An idle second costs `idle_price`, more under memory pressure; a cold start costs its load time
/// times a fixed weight.
[[nodiscard]] common::duration idle_limit(const gap_histogram& gaps, const idle_cost& cost);

} // namespace waxwinglb::core::placement
