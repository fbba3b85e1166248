/// Non-blocking TCP connections on an event loop, used only from the loop's thread.
///
/// The gateway forwards requests with these because a connection never resends data and reports how many
/// bytes the kernel has taken, unlike libcurl, and notices a peer that disconnects while its request waits,
/// unlike a suspended libmicrohttpd connection. docs/PLATFORM.md gives the full reasons.
#pragma once

#include "edge/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace waxwinglb::edge {

enum class close_reason {
    ended,         // the peer closed in order; everything it sent has been delivered
    reset,         // the peer or the network broke the connection
    timed_out,     // the peer's kernel no longer acknowledged anything
    not_connected, // the connection was never established: nothing was sent
};

class connection : public std::enable_shared_from_this<connection>, private ACE_Event_Handler {
public:
    struct events {
        std::function<void()> on_connected;            // outbound only
        std::function<void(std::string_view)> on_data; // bytes received
        std::function<void()> on_drained;              // the kernel has taken all unsent bytes
        std::function<void(close_reason)> on_closed;   // by the peer or the network; never after close()
                                                       // or, after close_when_sent(), by the end of its wait
    };

    /// Takes over an accepted socket.
    static std::shared_ptr<connection> adopt(event_loop& loop, int socket, events handlers);
    /// Starts connecting to "ip:port". A failure is reported by on_closed(not_connected), from the loop and
    /// never from within this call.
    static std::shared_ptr<connection> open(event_loop& loop, const std::string& address,
                                            core::common::milliseconds timeout, events handlers);

    connection(event_loop& loop, int socket, events handlers); // use adopt() or open()
    ~connection() override;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    void send(std::string_view bytes); // queues what the kernel does not take at once
    void close();                      // closes at once; unsent bytes are dropped
    /// Closes once the peer has taken the unsent bytes and closed in turn; waits only for a peer that goes on
    /// taking bytes. Reads on, as unread input would cause a reset. Of the events, only on_closed follows.
    void close_when_sent();
    /// For backpressure. The end of an adopted connection's peer is noticed also while its bytes are left
    /// unread.
    void pause_reading();
    void resume_reading();
    void change_events(events handlers) { events_ = std::make_shared<const events>(std::move(handlers)); }

    [[nodiscard]] bool open() const { return socket_ >= 0; }
    [[nodiscard]] std::size_t unsent() const { return unsent_.size() - sent_; }
    /// Bytes that the peer's kernel has acknowledged since the connection began.
    [[nodiscard]] std::uint64_t taken() const { return queued_ - not_taken(); }
    [[nodiscard]] bool has_unread() const;       // bytes, or the peer's end, that wait in the kernel
    [[nodiscard]] bool peer_has_closed() const;  // also if bytes that it sent before are still unread
    [[nodiscard]] std::size_t not_taken() const; // bytes, and the end, that the peer has not acknowledged

private:
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return socket_; }
    void watch(ACE_Reactor_Mask events); // sets what the reactor watches this socket for
    [[nodiscard]] bool writing() const { return (watched_ & ACE_Event_Handler::WRITE_MASK) != 0; }
    bool flush(); // sends unsent bytes; false: the connection broke
    void fail(close_reason reason);
    void fail_soon(close_reason reason); // from the loop, not from within the owner's call
    void release();
    /// After close_when_sent(): the peer has left `left` bytes untaken since `since`.
    void await_peer(std::size_t left, core::common::time_point since);
    /// How the peer has ended the connection, by the kernel's state of it; nullopt: it has not.
    [[nodiscard]] std::optional<close_reason> ended_by_peer() const;
    void watch_peer(); // looks now and then whether the peer of a paused connection has ended it

    event_loop& loop_;
    int socket_;
    std::shared_ptr<const events> events_; // never null; callers hold a copy, as a handler may replace it
    std::string unsent_;
    std::size_t sent_ = 0;     // bytes at the start of unsent_ that have been sent
    std::uint64_t queued_ = 0; // bytes passed to send()
    bool adopted_ = false;
    bool connecting_ = false;
    bool closing_ = false;                                    // close_when_sent() was called
    ACE_Reactor_Mask watched_ = ACE_Event_Handler::NULL_MASK; // the socket is registered unless this is empty
    event_loop::timer_id timer_;
    event_loop::timer_id peer_timer_; // of watch_peer()
};

/// Address of a socket's peer, IPv4 in host byte order; 0 if it has none.
[[nodiscard]] std::uint32_t peer_address_of(int socket);
[[nodiscard]] std::string address_text(std::uint32_t address); // "127.0.0.1"

/// Listens at "ip:port" and passes each accepted socket to a callback, which owns it.
class acceptor : private ACE_Event_Handler {
public:
    acceptor(event_loop& loop, std::function<void(int socket)> on_accept)
        : loop_(loop), on_accept_(std::move(on_accept)) {}
    ~acceptor() override { close(); }
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;
    acceptor(acceptor&&) = delete;
    acceptor& operator=(acceptor&&) = delete;

    bool listen(const std::string& address); // false: the address is invalid or can't be bound
    void close();
    [[nodiscard]] std::uint16_t port() const;

private:
    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return socket_; }

    event_loop& loop_;
    std::function<void(int)> on_accept_;
    int socket_ = -1;
};

/// Parses "ip:port" into `out`; false if the text has another form.
bool parse_address(const std::string& text, struct sockaddr_in& out);

} // namespace waxwinglb::edge
