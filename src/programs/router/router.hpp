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

    bool start(); // false if the certificate or the address can't be had
    void run();   // until the program is told to stop and every request has ended
    [[nodiscard]] std::uint16_t port() const { return server_->port(); }

private:
    void take(edge::link_event&& event, core::common::time_point now);
    void take(arrival&& request, core::common::time_point now);
    void take_from_steward(const edge::link_event& event, core::common::time_point now);
    void tick(core::common::time_point now);
    [[nodiscard]] bool drained(core::common::time_point now);

    edge::program_context& context_;
    router_settings settings_;
    event_ring events_{ring_capacity};
    edge::link_hub links_;
    router_parts parts_;
    call_table calls_;
    front front_;
    std::unique_ptr<edge::http_server> server_;
    core::common::time_point last_tick_{};
    core::common::time_point stopped_{}; // when draining began
    core::common::time_point idle_{};    // while draining: since when no request is open
    edge::logger log_ = edge::make_logger("router");
};

} // namespace waxwinglb::programs::router
