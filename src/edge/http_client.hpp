/// HTTP client for targets and the platform, on libcurl's multi interface in a thread of its own.
#pragma once

#include "core/common/error.hpp"
#include "core/common/time.hpp"
#include "edge/http_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwinglb::edge {

struct client_request {
    std::string method = "GET";
    std::string url;
    std::vector<http_field> headers;
    std::string body;
    core::common::milliseconds timeout{10'000}; // for the whole exchange; 0: none
    core::common::milliseconds connect_timeout{500};
    core::common::milliseconds stall_timeout{0}; // longest time without a received byte; 0: none
    bool send_once = false; // uses a new connection, as libcurl may resend a request on a reused one
    /// Its connection is reset when it closes, so that the peer gets nothing more of a call that was given
    /// up.
    bool withdrawn_when_ended = false;
};

/// How far an exchange got, which decides whether the peer may have run the request.
enum class client_outcome {
    answered,    // status line and whole body received
    not_sent,    // no connection: the peer never received the request
    interrupted, // anything else: the peer may have acted
};

struct client_result {
    client_outcome outcome = client_outcome::not_sent;
    int status = 0;
    std::vector<http_field> headers; // names in lower case
    std::string body;                // empty if on_data received it
    core::common::error why;         // set unless answered
};

using client_call = std::uint64_t;

class http_client {
public:
    http_client();
    ~http_client(); // stops
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Both callbacks run on the client's thread and must not block. Without on_data, the body is collected
    /// in the result.
    client_call send(client_request request, std::function<void(client_result&&)> on_done,
                     std::function<void(int status, std::string_view data)> on_data = {});
    void cancel(client_call call); // on_done is then called with `interrupted`

    /// Ends the client's thread. Open calls end as interrupted; no callback runs afterwards. For owners whose
    /// callbacks refer to other parts: call it while these exist.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace waxwinglb::edge
