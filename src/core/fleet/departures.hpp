/// Starts of targets that are leaving or have left.
///
/// A departure names a place in the store's history: as of then, the start was draining or not registered. So
/// it can be compared with a registration of the same start, whichever of them arrives first and by whom.
#pragma once

#include "core/common/store_position.hpp"
#include "core/common/time.hpp"

#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace waxwinglb::core::fleet {

constexpr common::milliseconds departure_retention{30'000}; // of starts that aren't registered any more

/// One start of a target.
struct target_start {
    std::string id;
    std::int64_t born = 0;
    bool operator==(const target_start&) const = default;
    bool operator<(const target_start& other) const {
        return std::tie(id, born) < std::tie(other.id, other.born);
    }
};

/// Position of a departure that no registration of the same start ends: the target itself said that it
/// leaves.
inline constexpr common::store_position whole_start{std::numeric_limits<std::int64_t>::max(),
                                                    std::numeric_limits<std::int64_t>::max()};

struct departure {
    target_start start;
    common::store_position at{}; // default: of a peer of an earlier version, which states none
    common::duration age{};      // since a gateway read it
    bool operator==(const departure&) const = default;
};

class departures {
public:
    /// Returns true if no departure of this start was known.
    bool note(const departure& heard, common::time_point now);
    /// Takes note that the start was registered as ready at `changed`, which ends an earlier departure. A
    /// default position ends any departure.
    void note_registered(const target_start& start, common::store_position changed);
    /// Departures of earlier eras hold up to `at`: a restored store may list what was registered before them.
    void begin_era(common::store_position at);

    [[nodiscard]] bool contains(const target_start& start) const { return known_.contains(start); }
    /// Whether the start has departed after it was registered at `changed`.
    [[nodiscard]] bool covers(const target_start& start, common::store_position changed) const;
    [[nodiscard]] std::vector<departure> all(common::time_point now) const;

    /// Forgets departures that are older than the retention, unless `is_registered(start)`.
    template<class predicate>
    void expire(common::time_point now, const predicate& is_registered) {
        std::erase_if(known_, [&](const auto& entry) {
            return now - entry.second.read_at > departure_retention && !is_registered(entry.first);
        });
    }

private:
    struct record {
        common::store_position at;
        common::time_point read_at{}; // by some gateway
    };
    std::map<target_start, record> known_;
};

} // namespace waxwinglb::core::fleet
