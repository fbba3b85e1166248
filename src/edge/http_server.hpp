/// HTTP server for callers, operators and scrapers, on libmicrohttpd (MHD).
///
/// The handler is called on one of the server's threads once a request's body is complete, and must not
/// block. It may keep the exchange and let any thread answer later; the connection is suspended until then.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct MHD_Connection; // of libmicrohttpd

namespace waxwinglb::edge {

struct http_field {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    std::string path;                           // without the query
    std::map<std::string, std::string> query;   // decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct http_response {
    int status = 200;
    std::vector<http_field> headers;
    std::string body;
};

/// One request and its answer: either respond(), or begin_stream(), write_stream() ... and end_stream() or
/// abort_stream(), or cut().
/// All members may be called from any thread.
class http_exchange {
public:
    [[nodiscard]] const http_request& request() const { return request_; }
    void respond(http_response response);                           // sends a complete answer
    void begin_stream(int status, std::vector<http_field> headers); // begins a chunked answer
    bool write_stream(std::string_view data);                       // false: caller disconnected or too slow
    void end_stream() { finish(false); }                            // ends a complete answer
    void abort_stream() { finish(true); }                           // the caller sees a truncated body
    void cut();                                                     // closes the connection without an answer
    [[nodiscard]] bool caller_gone() const; // the request has ended, e.g. by a disconnect

    http_exchange(MHD_Connection* connection, std::size_t max_unsent, // only for the server
                  const std::atomic<bool>& ending)
        : connection_(connection), max_unsent_(max_unsent), ending_(ending) {}

private:
    friend class http_server;
    int queue_or_suspend(); // called by MHD's threads, as the next three
    int queue_response();
    std::int64_t read_stream(char* out, std::size_t room);
    void completed();
    void finish(bool cut);
    void resume();
    void end_connection(); // resumes a suspended connection when the server ends

    MHD_Connection* connection_;
    std::size_t max_unsent_;
    const std::atomic<bool>& ending_; // of the server, which outlives its exchanges
    http_request request_;
    mutable std::mutex mutex_;
    std::optional<http_response> answer_;
    std::string stream_;
    std::size_t stream_start_ = 0;
    bool body_too_large_ = false;
    bool handled_ = false; // the handler has been called
    bool streaming_ = false;
    bool stream_ended_ = false;
    bool stream_cut_ = false;
    bool close_unanswered_ = false; // the connection is closed instead of an answer
    bool suspended_ = false;
    bool completed_ = false;
};
using exchange_ptr = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(exchange_ptr)>;

struct http_server_options {
    std::string address = "127.0.0.1:0"; // "ip:port"; port 0 picks one
    unsigned threads = 2;                // MHD's pool
    bool drains = false;                 // allows stop_accepting()
    std::size_t max_body = 4U << 20U;    // bytes; larger bodies get status 413
    std::size_t max_header = 32U << 10U; // bytes for all headers of one request
    std::size_t max_unsent = 8U << 20U;  // bytes of a stream that may wait for a slow caller
    unsigned max_connections = 4'000;
    std::size_t connection_memory =
        0;                   // bytes that MHD uses for each connection; 0: from max_header and streams
    unsigned timeout_s = 75; // of a connection without a byte in either direction
    /// Connections beyond this number are closed, the oldest first, so that new ones are always served;
    /// max_connections is then this number and some that are just being closed. 0: no limit but
    /// max_connections.
    unsigned kept_connections = 0;
    std::string certificate; // PEM text; empty: plain HTTP
    std::string key;         // PEM text
};

class http_server {
public:
    http_server(http_server_options options, http_handler handler);
    ~http_server(); // ends all connections
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    bool start();          // false if the address is invalid or can't be bound
    void stop_accepting(); // open exchanges continue; no effect without the option `drains`
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t open_exchanges() const; // requests not yet completely answered
    struct evictions {
        std::uint64_t connections = 0;
        std::uint32_t peer = 0; // address of the latest, IPv4 in host byte order
    };
    evictions take_evicted(); // connections closed since the last call because of kept_connections

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace waxwinglb::edge
