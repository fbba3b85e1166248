/// The queue before the weight store: at most `at_once` loads, `loads_per_second` started, and 32 adapters in
/// flight over the fleet; ordered by deadline and by the customers' fair share.
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
    int at_once = 4;                                          // loads that the store reads at full speed
    double loads_per_second = 4;                              // started
    int adapters_in_flight = 32;                              // beyond, each takes proportionally longer
    common::duration load_time = std::chrono::seconds(2);     // expected for one load, for estimates
    common::duration held_at_most = std::chrono::seconds(60); // a slot that wasn't released is free again
    common::duration asked_within = std::chrono::seconds(10); // a wish not repeated for so long is dropped
};

struct slot_claim {
    std::string asker;             // "<steward>|<service>/<model>|<target>": one load
    std::string customer;          // whose request waits longest; empty if none
    double weight = 1;             // of the customer
    int adapters = 0;              // >0: adapters, no model weights
    common::time_point deadline{}; // of the most urgent request
};

struct slot_answer {
    bool granted = false;
    common::duration estimate{}; // until it will be granted, if not
};

class weight_slots {
public:
    explicit weight_slots(slot_limits limits) : limits_(limits) {}

    /// Asks for a slot, or asks again: the same asker keeps its place or its slot.
    slot_answer request(common::time_point now, const slot_claim& wish);
    /// The load has ended or is given up.
    void release(common::time_point now, const std::string& asker);
    /// Askers that were granted since the last call, to be told.
    std::vector<std::string> granted(common::time_point now);

    [[nodiscard]] common::duration estimate(common::time_point now) const; // for one more load
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] int loading() const;

private:
    struct wish_state {
        slot_claim wish;
        common::time_point asked{};
        std::uint64_t order = 0; // of arrival
        double start = 0;        // virtual time of its customer's share
    };
    struct held {
        common::time_point until{};
        int adapters = 0;
    };
    void admit(common::time_point now);
    [[nodiscard]] std::map<std::string, wish_state>::iterator next(common::time_point now);
    [[nodiscard]] bool room(common::time_point now, const slot_claim& wish) const;

    slot_limits limits_;
    std::map<std::string, wish_state> queue_; // by asker
    std::map<std::string, held> held_;        // by asker
    std::map<std::string, double> finish_;    // virtual finish of each customer's last load
    std::vector<std::string> granted_;
    std::deque<common::time_point> started_; // within the last second
    double virtual_time_ = 0;
    std::uint64_t arrivals_ = 0;
};

} // namespace waxwinglb::core::placement
