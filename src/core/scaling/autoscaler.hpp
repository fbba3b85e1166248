/// Decides how many targets of one service should run in each data centre.
///
/// The number rises before the present targets are full: at a share of their room, and ahead of a rising
/// demand by the time that a new target needs. It falls late: only after demand has stayed lower for as long
/// as a new target needs, and step by step. So a short dip or an oscillation changes nothing, at the price of
/// some targets beyond need.
#pragma once

#include "core/fleet/model.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::core::scaling {

struct centre_state {
    int targets = 0;  // registered and not leaving
    bool out = false; // taken out of service: its targets don't count, and its number isn't changed
};

/// One service at one moment, as seen by all gateways together.
struct observation {
    double running = 0;                // requests at targets
    double waiting = 0;                // requests that no target can take
    double per_second = 0;             // arrivals, also of requests that were refused afterwards
    double room = 0;                   // requests that one target runs at once within the target latency
    common::milliseconds load_time{0}; // of the first model at a new target
    int holders_needed = 0;            // targets that the models in use need as their memory
    bool models_placed = true;         // each model in use is loaded at a target that serves
    std::map<std::string, centre_state> centres;
};

struct scale_call {
    std::string data_centre;
    int desired = 0;
    int before = 0;
    std::string why;
};

/// What the latest decision rests on.
struct estimate {
    double level = 0;    // requests at once that callers ask for, mean of the latest seconds
    double expected = 0; // the same at the time when a target that is asked for now would serve
    int needed = 0;      // targets, in all data centres that are in service
};

class autoscaler {
public:
    /// To be called about once a second. Returns the numbers to call for: those that have changed, and once
    /// all of them.
    [[nodiscard]] std::vector<scale_call> evaluate(const fleet::scaling_spec& limits, const observation& seen,
                                                   common::time_point now);
    [[nodiscard]] const std::map<std::string, int>& desired() const { return desired_; } // by data centre
    [[nodiscard]] const estimate& latest() const { return estimate_; }

private:
    struct sample {
        common::time_point at{};
        double demand = 0;
        int needed_to_keep = 0; // targets below which the number may not fall because of this sample
    };

    struct line {
        double slope = 0; // per second
        double error = 0; // standard error of the slope
    };

    void begin_centres(const fleet::scaling_spec& limits, const observation& seen, common::time_point now);
    [[nodiscard]] double demand_of(const observation& seen);
    [[nodiscard]] double mean_since(common::time_point since) const;
    [[nodiscard]] double trend(common::duration window, common::time_point now) const; // per second
    [[nodiscard]] line fit(common::time_point from, common::time_point until) const;
    void estimate_need(const observation& seen, common::duration start_time, common::time_point now);
    [[nodiscard]] int most_needed(common::time_point since) const;
    [[nodiscard]] int total(const observation& seen) const;
    void raise(const fleet::scaling_spec& limits, const observation& seen);
    void lower(const fleet::scaling_spec& limits, const observation& seen, common::duration start_time,
               common::time_point now);

    std::map<std::string, int> desired_;
    std::map<std::string, int> called_; // the numbers last called for
    std::deque<sample> samples_;        // oldest first
    double work_per_arrival_ = 0;       // seconds that a request usually takes; 0: not known yet
    estimate estimate_;
    common::time_point first_at_{};
    common::time_point lowered_at_{};
    common::time_point steady_since_{}; // since when the same data centres are in service
    std::set<std::string> in_service_;
};

/// Targets that these models need, each at one of them, if a target has so much memory.
[[nodiscard]] int targets_to_hold(std::vector<double> model_megabytes, double target_megabytes);

} // namespace waxwinglb::core::scaling
