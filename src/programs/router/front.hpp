/// Callers' side: reads HTTP requests as far as that needs no configuration and hands them to the deciding
/// thread. Runs on the HTTP server's threads.
#pragma once

#include "edge/program.hpp"
#include "programs/router/answers.hpp"
#include "programs/router/events.hpp"

#include <optional>
#include <string_view>
#include <variant>

namespace waxwinglb::programs::router {

/// Reads a request; a problem is answered at once.
[[nodiscard]] std::variant<arrival, problem> read_arrival(const edge::exchange_ptr& exchange,
                                                          core::common::time_point now);

/// True if `key` stands in what would be forwarded: path, query, body or a forwarded header.
[[nodiscard]] bool carries_key(const arrival& one);

/// Names, in lower case, of request headers that are forwarded to plain services.
[[nodiscard]] bool is_forwarded(std::string_view header_name);

class front {
public:
    front(edge::program_context& context, event_ring& events) : context_(context), events_(events) {}
    void handle(const edge::exchange_ptr& exchange);

private:
    edge::program_context& context_;
    event_ring& events_;
};

} // namespace waxwinglb::programs::router
