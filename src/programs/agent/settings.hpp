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
    std::string service;                   // service of the target
    target_kind kind = target_kind::model; // engine (model) or plain service
    std::string listen;                    // "ip:port" for links
    std::string operations;                // "ip:port" of health, metrics and time line
    std::string engine;                    // "ip:port" of the engine or plain service
    std::string platform;                  // "ip:port" of the weight store; may be empty
    std::vector<std::string> stewards;     // "ip:port" each; source of the configuration
    int control_shards = core::membership::default_shard_count;
    std::int64_t memory = 0;                           // bytes of the accelerator
    int concurrency = 16;                              // concurrent requests when warm
    int ramp_start = 2;                                // concurrent requests after a restart or when cold
    core::common::milliseconds ramp_step_every{1'000}; // minimum time between increments of the limit by one
    core::common::milliseconds order_timeout{2'000};   // a sent order cannot reach the engine after this
    core::common::milliseconds stall_timeout{2'000};   // time without data before a stream is resumed
    int max_waiting = 200;                             // queue limit, in requests
};

void read_settings(edge::settings_section& top, agent_settings& settings);

} // namespace waxwinglb::programs::agent
