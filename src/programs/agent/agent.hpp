/// waxwing-agent: all requests and orders for one target go through its agent.
/// Runs until the program is told to stop and has drained.
#pragma once

#include "edge/http_client.hpp"
#include "edge/link.hpp"
#include "edge/program.hpp"
#include "edge/ring.hpp"
#include "programs/agent/settings.hpp"
#include "programs/agent/state.hpp"

#include <memory>
#include <thread>

namespace waxwinglb::programs::agent {

class agent {
public:
    agent(agent_settings settings, edge::program_context& context);
    ~agent(); // stops at once; to drain first, set context.stopping and call join()
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;
    agent(agent&&) = delete;
    agent& operator=(agent&&) = delete;

    bool start(); // false if the listen address can't be bound
    void join();  // returns when the agent has drained
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::int64_t boot() const { return boot_; }

private:
    void run();

    agent_settings settings_;
    edge::program_context& context_;
    std::int64_t boot_; // Unix milliseconds at start
    edge::ring<event> ring_;
    std::unique_ptr<edge::link_hub> hub_;
    std::unique_ptr<edge::http_client> http_;
    std::uint16_t port_ = 0;
    std::atomic<bool> ended_{false};
    std::thread thread_;
};

} // namespace waxwinglb::programs::agent
