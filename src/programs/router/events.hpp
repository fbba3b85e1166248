/// Events that the deciding thread reads from its ring.
#pragma once

#include "core/routing/chat_request.hpp"
#include "edge/http_server.hpp"
#include "edge/link.hpp"
#include "edge/ring.hpp"

#include <string>
#include <variant>

namespace waxwinglb::programs::router {

enum class arrival_kind { chat, models, plain };

/// A caller's request after the checks that need no configuration.
struct arrival {
    edge::exchange_ptr exchange;
    arrival_kind kind = arrival_kind::plain;
    core::common::time_point at;           // deadlines count from here
    core::routing::chat_request chat;      // of kind chat
    std::string service;                   // of kind plain
    std::string path;                      // of kind plain: below the service, with the query
    std::string key;                       // the caller's API key; never leaves the router
    std::string idempotency_key;           // empty: none
    core::common::milliseconds timeout{0}; // 0: the service's default
};

using router_event = std::variant<edge::link_event, arrival>;
using event_ring = edge::ring<router_event>;

constexpr std::size_t ring_capacity = 131'072;      // events
constexpr std::size_t ring_message_limit = 120'000; // above it messages are dropped; link changes still fit
constexpr std::size_t ring_arrival_limit = 100'000; // above it callers are refused at once

} // namespace waxwinglb::programs::router
