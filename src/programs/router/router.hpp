/// The router's deciding thread: reads one ring of events and owns all state.
#pragma once

#include "programs/router/calls.hpp"
#include "programs/router/events.hpp"
#include "programs/router/front.hpp"
#include "programs/router/parts.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace waxwinglb::programs::router {

class router {
public:
    router(edge::program_context& context, router_settings settings);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;

    bool start(); // false if the certificate is unreadable or the address unavailable
    void run();   // until the program is stopped and every request has ended
    [[nodiscard]] std::uint16_t port() const { return server_->port(); }

private:
    void handle_event(edge::link_event&& event, core::common::time_point now);
    void handle_event(arrival&& request, core::common::time_point now);
    void handle_steward_message(const edge::link_event& event, core::common::time_point now);
    void tick(core::common::time_point now);
    [[nodiscard]] bool drained(core::common::time_point now);

    edge::program_context& context_;
    router_settings settings_;
    event_ring events_{ring_capacity};
    edge::link_hub links_;
    router_parts parts_;
    call_table calls_;
    http_frontend front_;
    std::unique_ptr<edge::http_server> server_;
    core::common::time_point last_tick_{};
    core::common::time_point draining_since_{};
    core::common::time_point idle_since_{}; // while draining: no request open since then
    edge::logger log_ = edge::make_logger("router");
};

} // namespace waxwinglb::programs::router
