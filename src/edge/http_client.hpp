/// HTTP client for targets and the platform, on libcurl's multi interface in a thread of its own.
#pragma once

#include "core/common/error.hpp"
#include "core/common/time.hpp"
#include "edge/http_server.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwinglb::edge {

inline constexpr std::size_t max_collected_answer = 8U << 20U; // bytes; a store's longest pages have 1 MB

/// Bytes of an answer that have come. Written by the client's thread, read by any.
struct transfer_progress {
    std::atomic<std::size_t> received{0};
};

/// Bounds the memory that the answers to several calls take together while they come. Used on the client's
/// thread.
class receive_budget {
public:
    explicit receive_budget(std::size_t limit) : limit_(limit) {}
    [[nodiscard]] bool take(std::size_t bytes) { // false: there is no room for them
        if (bytes > limit_ - used_)
            return false;
        used_ += bytes;
        return true;
    }
    void give_back(std::size_t bytes) { used_ -= bytes; }

private:
    std::size_t limit_; // bytes
    std::size_t used_ = 0;
};

struct client_request {
    std::string method = "GET";
    std::string url;
    std::vector<http_field> headers;
    std::string body;
    core::common::milliseconds timeout{10'000}; // for the whole exchange; 0: none
    core::common::milliseconds connect_timeout{500};
    core::common::milliseconds answer_timeout{0};  // until the first byte of the answer; 0: none
    core::common::milliseconds stall_timeout{0};   // longest time without a received byte; 0: none. Applies
                                                   // from the first byte on if answer_timeout is set
    std::size_t max_answer = max_collected_answer; // bytes of the head and of a collected body
    std::shared_ptr<receive_budget> memory;      // shared with other calls; null: max_answer alone bounds it
    std::shared_ptr<transfer_progress> progress; // null: not wanted
    bool accepts_gzip = false;                   // the result has the decompressed body
    bool send_once = false; // uses a new connection, as libcurl may resend a request on a reused one
    /// Its connection is reset when it closes, so that the peer gets nothing more of a call that was given
    /// up.
    bool withdrawn_when_ended = false;
};

/// Lets a large answer take as long as its bytes keep coming. `answer_timeout`: until the first one.
void limit_by_progress(client_request& request, core::common::milliseconds answer_timeout);

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
    bool refused = false;            // nothing listens at the address
    bool connected = false;
    bool timed_out = false;   // one of the request's limits ended it
    std::size_t received = 0; // bytes of the answer that came, also of one that broke off
    core::common::error why;  // set unless answered
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
