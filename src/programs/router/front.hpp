/// HTTP side of the router: parses requests, does the checks that need no configuration, and passes the
/// requests to the deciding thread. Runs on the HTTP server's threads.
#pragma once

#include "edge/program.hpp"
#include "programs/router/answers.hpp"
#include "programs/router/events.hpp"

#include <optional>
#include <string_view>
#include <variant>

namespace waxwinglb::programs::router {

/// Parses a request; a problem is returned for the caller.
[[nodiscard]] std::variant<arrival, problem> read_arrival(const edge::exchange_ptr& exchange,
                                                          core::common::time_point now);

/// True if the request contains its own key in a part that is forwarded: path, query, body or a forwarded
/// header.
[[nodiscard]] bool carries_key(const arrival& incoming);

/// Names, in lower case, of request headers that are forwarded to plain services.
[[nodiscard]] bool is_forwarded(std::string_view header_name);

class http_frontend {
public:
    http_frontend(edge::program_context& context, event_ring& events) : context_(context), events_(events) {}
    void handle(const edge::exchange_ptr& exchange);

private:
    edge::program_context& context_;
    event_ring& events_;
};

} // namespace waxwinglb::programs::router
