/// One non-blocking TCP connection on an event loop. Belongs to the loop's thread.
///
/// Unlike libcurl, it never sends anything twice and says how many bytes the kernel took; unlike a suspended
/// libmicrohttpd connection, it notices a peer that leaves while its request waits. docs/PLATFORM.md tells
/// why requests are forwarded with it.
#pragma once

#include "edge/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace waxwinglb::edge {

enum class close_reason {
    ended,         // the peer closed in order; all it sent has been delivered
    reset,         // the connection broke
    not_connected, // it never came up: nothing was sent
};

class connection : public std::enable_shared_from_this<connection>, private ACE_Event_Handler {
public:
    struct events {
        std::function<void()> on_connected;            // outbound only
        std::function<void(std::string_view)> on_data; // bytes that arrived
        std::function<void()> on_drained;              // everything unsent has been handed to the kernel
        std::function<void(close_reason)> on_closed;   // by the peer or the network; never after close()
    };

    /// Takes over an accepted socket.
    static std::shared_ptr<connection> adopt(event_loop& loop, int socket, events handlers);
    /// Starts connecting to "ip:port"; failures arrive as on_closed(not_connected), never from inside.
    static std::shared_ptr<connection> open(event_loop& loop, const std::string& address,
                                            core::common::milliseconds timeout, events handlers);

    connection(event_loop& loop, int socket, events handlers); // use adopt() or open()
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    void send(std::string_view bytes); // queues what the kernel doesn't take at once
    void close();                      // at once; unsent bytes are dropped
    void close_when_sent();            // after the unsent bytes, reading on so that no reset hits them
    void pause_reading();              // backpressure
    void resume_reading();
    void change_events(events handlers) { events_ = std::make_shared<const events>(std::move(handlers)); }

    [[nodiscard]] bool open() const { return socket_ >= 0; }
    [[nodiscard]] std::size_t unsent() const { return unsent_.size() - sent_; }

private:
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return socket_; }
    void watch(bool writing);
    bool flush(); // false: the connection broke
    void fail(close_reason reason);
    void release();

    event_loop& loop_;
    int socket_;
    std::shared_ptr<const events> events_; // never null; held during a call, which may replace it
    std::string unsent_;
    std::size_t sent_ = 0;
    bool connecting_ = false;
    bool writing_ = false;
    bool closing_ = false;
    event_loop::timer_id timer_;
};

/// Accepts connections at "ip:port" and hands over each socket.
class acceptor : private ACE_Event_Handler {
public:
    acceptor(event_loop& loop, std::function<void(int socket)> on_accept)
        : loop_(loop), on_accept_(std::move(on_accept)) {}
    ~acceptor() override { close(); }
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;
    acceptor(acceptor&&) = delete;
    acceptor& operator=(acceptor&&) = delete;

    bool listen(const std::string& address); // false: the address can't be had
    void close();
    [[nodiscard]] std::uint16_t port() const;

private:
    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return socket_; }

    event_loop& loop_;
    std::function<void(int)> on_accept_;
    int socket_ = -1;
};

/// Fills `out` from "ip:port"; false if the text isn't one.
bool parse_address(const std::string& text, struct sockaddr_in& out);

} // namespace waxwinglb::edge
