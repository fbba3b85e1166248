/// Settings of waxwing-agent.
#pragma once

#include "core/membership/shard.hpp"
#include "edge/settings.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::agent {

enum class target_kind { model, plain };

struct agent_settings {
    std::string vm;                        // VM on which agent and target run
    std::string data_centre;               // of that VM
    std::string target;                    // the target's name, unique in the fleet
    std::string service;                   // that the target serves
    target_kind kind = target_kind::model; // engine or plain service
    std::string listen;                    // "ip:port" for links
    std::string operations;                // "ip:port" of health, metrics and time line
    std::string engine;                    // "ip:port" of the engine or plain service
    std::string platform;                  // "ip:port" of the weight store; may be empty
    std::vector<std::string> stewards;     // feeds of the configuration
    int control_shards = core::membership::default_shard_count;
    std::int64_t memory = 0;                           // bytes of the accelerator
    int concurrency = 16;                              // requests at once when warm
    int ramp_start = 2;                                // requests at once when fresh
    core::common::milliseconds ramp_step_every{1'000}; // the limit grows by one at most this often
    core::common::milliseconds order_timeout{2'000};   // no order arrives later than this at the engine
    core::common::milliseconds stall_timeout{2'000};   // silence of a stream before it is resumed
    int max_waiting = 200;                             // requests in the queue
};

void read_settings(edge::settings_section& top, agent_settings& out);

} // namespace waxwinglb::programs::agent
