/// What the planner is told: the targets, what is used of them, and what is asked for.
#pragma once

#include "core/fleet/model.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::core::load_planning {

/// Use of one loaded model or adapter at a target.
struct usage {
    int running = 0;                // requests of all routers
    common::time_point last_used{}; // or loaded
};

/// A target as the order giver knows it; of one service.
struct target_state {
    std::string id;
    std::string data_centre;
    bool takes_orders = false; // reachable, staying, and no order of ours under way
    common::time_point takes_orders_at = common::time_point::max(); // foretold, if it doesn't now
    bool serves = true;                  // may be sent requests: not leaving, its data centre is in
    int running = 0;                     // requests of all routers
    std::map<std::string, usage> models; // loaded, and those being loaded
    std::map<fleet::model_ref, usage> adapters;
    std::map<std::string, common::time_point> coming; // those of `models` that aren't ready yet, and when
    std::set<std::string> copies_in_memory;
    std::set<std::string> copies_on_disk;
};

struct demand {
    int waiting = 0;             // requests that no target can take now
    common::time_point oldest{}; // arrival of the first of them
    int priority = 5;            // most urgent of them
    double per_second = 0;       // arrivals
    int running = 0;             // requests at targets
};

struct planner_input {
    const fleet::engine_spec* engine = nullptr;
    std::vector<target_state> targets; // in the order of their ids
    std::map<fleet::model_ref, demand> demands;
    int store_loads_under_way = 0;
};

/// Counts the use of a model or adapter at one of the targets, and as demand; of an unknown target: nothing.
void add_use(planner_input& to, const std::string& target, const fleet::model_ref& wish, const usage& use);

/// Adds up what several gateways tell of the same wish.
void add_demand(demand& to, const demand& more);

} // namespace waxwinglb::core::load_planning
