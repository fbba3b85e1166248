/// HTTP for callers, operators and scrapers, on libmicrohttpd.
///
/// The handler runs on one of the server's threads, once a request's body is complete, and must not block: it
/// hands the exchange to another duty. Any thread may answer later; the connection sleeps until then.
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

struct MHD_Connection; // libmicrohttpd's own

namespace waxwinglb::edge {

struct http_field {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    std::string path;                           // without query
    std::map<std::string, std::string> query;   // decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct http_response {
    int status = 200;
    std::vector<http_field> headers;
    std::string body;
};

/// One request and the way to answer it. Exactly one of respond() or begin_stream() ... end_stream().
/// All members may be called from any thread.
class http_exchange {
public:
    [[nodiscard]] const http_request& request() const { return request_; }
    void respond(http_response response);                           // complete answer
    void begin_stream(int status, std::vector<http_field> headers); // chunked answer begins
    bool write_stream(std::string_view data);                       // false: caller gone or too slow
    void end_stream() { finish(false); }                            // whole answer sent
    void abort_stream() { finish(true); }                           // cuts: caller sees a truncated body
    void cut();                                                     // closes without any answer
    [[nodiscard]] bool caller_gone() const;                         // connection ended early

    http_exchange(MHD_Connection* connection, std::size_t max_unsent, // made by the server only
                  const std::atomic<bool>& ending)
        : connection_(connection), max_unsent_(max_unsent), ending_(ending) {}

private:
    friend class http_server;
    int queue_or_suspend(); // the rest is called by MHD's threads
    int queue();
    std::int64_t read(char* out, std::size_t room);
    void completed();
    void finish(bool cut);
    void resume();
    void end_connection(); // the server ends: nothing may stay suspended

    MHD_Connection* connection_;
    std::size_t max_unsent_;
    const std::atomic<bool>& ending_; // of the server, which outlives its connections
    http_request request_;
    mutable std::mutex mutex_;
    std::optional<http_response> answer_;
    std::string stream_;
    std::size_t stream_start_ = 0;
    bool too_large_ = false;
    bool handled_ = false; // the handler has been called
    bool streaming_ = false;
    bool stream_ended_ = false;
    bool stream_cut_ = false;
    bool cut_ = false; // the connection ends instead of an answer
    bool suspended_ = false;
    bool gone_ = false;
};
using exchange_ptr = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(exchange_ptr)>;

struct http_server_options {
    std::string address = "127.0.0.1:0"; // "ip:port"; port 0 picks one
    unsigned threads = 2;                // MHD's pool
    bool drains = false;                 // stop_accepting() may be called
    std::size_t max_body = 4U << 20U;    // bytes; larger ones get 413
    std::size_t max_header = 32U << 10U; // bytes for all headers of one request
    std::size_t max_unsent = 8U << 20U;  // bytes of a stream that a slow caller may leave unread
    unsigned max_connections = 4'000;
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

    bool start();          // false if the address can't be had
    void stop_accepting(); // closes the listening socket; open exchanges go on. Only if it `drains`
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t open_exchanges() const; // requests not completely answered

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace waxwinglb::edge
