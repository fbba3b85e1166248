/// Input of the planner: the targets, their current use, and the demand.
#pragma once

#include "core/fleet/model.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::core::load_planning {

/// Use of one loaded model or adapter at a target.
struct usage {
    int running = 0;                // requests, of all gateways
    common::time_point last_used{}; // or loaded
    common::time_point loaded_at{}; // unknown: long ago
};

/// State of one target of the planned service, as the order giver knows it.
struct target_state {
    std::string id;
    std::string data_centre;
    bool takes_orders = false; // state known, registered, and no order under way or unsettled
    common::time_point takes_orders_at = common::time_point::max(); // expected, if it doesn't now
    bool serves = true;                  // may get requests: not leaving, its data centre isn't taken out
    bool leaving = false;                // what it holds will be lost; it doesn't serve either
    int running = 0;                     // requests, of all gateways
    double speed = 1;                    // 1 is the usual one
    std::string room_for;                // model for which another one was ordered to be unloaded just now
    std::map<std::string, usage> models; // loaded or being loaded
    std::map<fleet::model_ref, usage> adapters;
    std::map<std::string, common::time_point> coming; // models being loaded, and when they should be ready
    std::set<std::string> copies_in_memory;
    std::set<std::string> copies_on_disk;
};

/// Demand for one model or adapter, or a sum of such demands.
struct demand {
    int waiting = 0;             // requests that no target can take now
    common::time_point oldest{}; // arrival of the oldest waiting request
    int priority = 5;            // of the most urgent waiting request
    double per_second = 0;       // arrivals per second
    int running = 0;             // requests running at targets
};

struct planner_input {
    const fleet::engine_spec* engine = nullptr;
    std::vector<target_state> targets; // sorted by id
    std::map<fleet::model_ref, demand> demands;
    int store_loads_under_way = 0;
};

/// Adds the use of a model or adapter to its target and to the demand. Ignored if the target is unknown.
void add_use(planner_input& to, const std::string& target, const fleet::model_ref& ref, const usage& use);

/// Adds another gateway's demand for the same model or adapter.
void add_demand(demand& to, const demand& more);

} // namespace waxwinglb::core::load_planning
