/// Queue for loads from the weight store: over the whole fleet at most `max_parallel_loads` loads run,
/// `loads_per_second` start, and `adapters_in_flight` adapters are loaded at a time. Ordered by the
/// customers' fair share, then by deadline.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::placement {

struct slot_limits {
    int max_parallel_loads = 4;                           // loads that the store serves at full speed
    double loads_per_second = 4;                          // loads started per second
    int adapters_in_flight = 32;                          // beyond this, each takes proportionally longer
    common::duration load_time = std::chrono::seconds(2); // expected for one load; used for estimates
    common::duration max_hold_time = std::chrono::seconds(60); // an unrenewed slot is freed after this
    common::duration claim_ttl = std::chrono::seconds(10); // a claim not repeated for this long is dropped
};

/// A request for a slot.
struct slot_claim {
    std::string requester;         // "<steward>|<service>/<model>|<target>": one load
    std::string customer;          // whose request has waited longest; empty if none
    double weight = 1;             // of the customer
    int adapters = 0;              // >0: loads this many adapters instead of model weights
    common::time_point deadline{}; // of the most urgent request
};

struct slot_answer {
    bool granted = false;
    common::duration estimate{}; // time until the grant, if not granted
};

class weight_slots {
public:
    explicit weight_slots(slot_limits limits) : limits_(limits) {}

    /// Requests a slot or renews a request: the same requester keeps its place in the queue, or its slot.
    slot_answer request(common::time_point now, const slot_claim& claim);
    /// Frees the slot or drops the claim: the load has ended or was given up.
    void release(common::time_point now, const std::string& requester);
    /// Askers granted a slot since the last call, which have to be notified.
    std::vector<std::string> granted(common::time_point now);

    [[nodiscard]] common::duration estimate(common::time_point now) const; // wait of one more load
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] int loading() const;

private:
    struct queued_claim {
        slot_claim claim;
        common::time_point renewed_at{};
        std::uint64_t order = 0; // of arrival in the queue
        double start = 0;        // virtual start time within its customer's share
    };
    struct held {
        common::time_point until{};
        int adapters = 0;
    };
    void admit(common::time_point now);
    [[nodiscard]] std::map<std::string, queued_claim>::iterator next_claim(common::time_point now);
    [[nodiscard]] bool has_room(common::time_point now, const slot_claim& claim) const;

    slot_limits limits_;
    std::map<std::string, queued_claim> queue_; // by requester
    std::map<std::string, held> held_;          // by requester
    std::map<std::string, double> finish_; // virtual finish time of each customer's last load, by customer
    std::vector<std::string> granted_;
    std::deque<common::time_point> started_; // start times within the last second
    double virtual_time_ = 0;
    std::uint64_t arrivals_ = 0;
};

} // namespace waxwinglb::core::placement
