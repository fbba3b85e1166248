#include "edge/connection.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace waxwinglb::edge {
namespace {

using core::common::milliseconds;

constexpr std::size_t read_size = 32U << 10U; // bytes taken from a socket at once
constexpr int reads_per_turn = 4;             // before other connections are served
constexpr milliseconds linger_limit{1'500};   // longest wait for the peer to close after the last byte
// TCP_USER_TIMEOUT: a connection breaks if sent bytes or probes stay unacknowledged for that long. Callers
// get more time, as they may have worse links. A target that lost power must be given up before its callers
// disconnect, which they do after 3.2 s for a target latency of 0.8 s.
constexpr unsigned caller_tcp_timeout_ms = 2'500;
constexpr milliseconds stall_limit{caller_tcp_timeout_ms}; // of a closing connection whose peer takes no byte
constexpr milliseconds progress_interval{250};             // between two looks at what the peer has taken
constexpr unsigned target_tcp_timeout_ms = 1'500;
constexpr int keepalive_interval_s = 1; // probe interval on an idle connection to a target
constexpr milliseconds peer_watch_interval{
    100}; // between two looks whether a paused connection's peer has ended
constexpr std::size_t kept_capacity = 16U << 10U; // bytes of an empty output buffer that are not given back
constexpr std::size_t least_compaction =
    64U << 10U; // sent bytes at the start of the output buffer that are dropped
constexpr int accepts_per_turn = 32;
constexpr int accept_backlog = 512;

void set_options(int socket, unsigned tcp_timeout_ms) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_timeout_ms, sizeof tcp_timeout_ms);
}

/// Detects a peer that lost power or its network while nothing is sent to it.
void enable_keepalive(int socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_interval_s, sizeof keepalive_interval_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s, sizeof keepalive_interval_s);
}

bool would_block(int code) {
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

} // namespace

bool parse_address(const std::string& text, sockaddr_in& out) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data() + colon + 1, end, port);
    if (failure != std::errc{} || stop != end)
        return false;
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

connection::connection(event_loop& loop, int socket, events handlers)
    : loop_(loop), socket_(socket), events_(std::make_shared<const events>(std::move(handlers))) {}

connection::~connection() {
    release();
}

std::shared_ptr<connection> connection::adopt(event_loop& loop, int socket, events handlers) {
    set_options(socket, caller_tcp_timeout_ms);
    auto made = std::make_shared<connection>(loop, socket, std::move(handlers));
    made->adopted_ = true;
    made->watch(ACE_Event_Handler::READ_MASK);
    return made;
}

std::shared_ptr<connection> connection::open(event_loop& loop, const std::string& address,
                                             milliseconds timeout, events handlers) {
    auto made = std::make_shared<connection>(loop, -1, std::move(handlers));
    made->connecting_ = true;
    const std::weak_ptr<connection> weak = made;
    const auto fail_later = [&](core::common::time_point at) {
        made->timer_ = loop.schedule(at, [weak] {
            if (const auto self = weak.lock(); self && self->connecting_)
                self->fail(close_reason::not_connected);
        });
    };
    sockaddr_in peer{};
    if (parse_address(address, peer))
        made->socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (made->socket_ < 0) {
        fail_later(loop.now());
        return made;
    }
    set_options(made->socket_, target_tcp_timeout_ms);
    enable_keepalive(made->socket_);
    const int result = ::connect(made->socket_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    if (result != 0 && errno != EINPROGRESS) {
        fail_later(loop.now());
        return made;
    }
    fail_later(loop.now() + timeout);
    made->watch(ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK);
    return made;
}

void connection::send(std::string_view bytes) {
    if (socket_ < 0 || closing_)
        return;
    queued_ += bytes.size();
    if (!connecting_ && unsent_.empty() && !bytes.empty()) { // large answers needn't be copied
        const auto count = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count == static_cast<ssize_t>(bytes.size()))
            return;
        if (count > 0)
            bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    unsent_.append(bytes);
    if (!connecting_ && !writing() && !flush())
        fail_soon(close_reason::reset);
}

void connection::close() {
    release();
}

void connection::close_when_sent() {
    if (socket_ < 0)
        return;
    closing_ = true;
    events last;
    last.on_closed = events_->on_closed;
    change_events(std::move(last));
    if (unsent() == 0)
        ::shutdown(socket_, SHUT_WR);
    resume_reading();
    await_peer(not_taken(), loop_.now());
}

std::size_t connection::not_taken() const {
    int in_kernel = 0;
    ::ioctl(socket_, SIOCOUTQ, &in_kernel);
    return unsent() + static_cast<std::size_t>(in_kernel);
}

void connection::await_peer(std::size_t left, core::common::time_point since) {
    loop_.cancel(timer_);
    timer_ = loop_.schedule(loop_.now() + progress_interval, [self = shared_from_this(), left, since] {
        const auto now = self->loop_.now();
        const std::size_t still_left = self->not_taken();
        if (still_left < left)
            return self->await_peer(still_left, now);
        if (now - since < (left > 0 ? stall_limit : linger_limit))
            return self->await_peer(left, since);
        self->fail(close_reason::ended);
    });
}

bool connection::has_unread() const {
    int count = 0;
    return socket_ >= 0 && ::ioctl(socket_, FIONREAD, &count) == 0 && count > 0;
}

void connection::pause_reading() {
    if (socket_ < 0 || (watched_ & ACE_Event_Handler::READ_MASK) == 0)
        return;
    watch(watched_ & ~ACE_Event_Handler::READ_MASK);
    if (adopted_)
        watch_peer();
}

void connection::watch_peer() {
    loop_.cancel(peer_timer_);
    peer_timer_ = loop_.schedule(loop_.now() + peer_watch_interval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->socket_ < 0 || (self->watched_ & ACE_Event_Handler::READ_MASK) != 0)
            return;
        if (const auto reason = self->ended_by_peer())
            return self->fail(*reason);
        self->watch_peer();
    });
}

std::optional<close_reason> connection::ended_by_peer() const {
    tcp_info state{};
    socklen_t size = sizeof state;
    if (getsockopt(socket_, IPPROTO_TCP, TCP_INFO, &state, &size) != 0)
        return std::nullopt;
    if (state.tcpi_state == TCP_CLOSE)
        return close_reason::reset;
    if (state.tcpi_state == TCP_CLOSE_WAIT || state.tcpi_state == TCP_LAST_ACK)
        return close_reason::ended;
    return std::nullopt;
}

bool connection::peer_has_closed() const {
    char byte = 0;
    const auto count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) // what was sent before the end hides it
        return ended_by_peer().has_value();
    return count == 0 || !would_block(errno);
}

void connection::resume_reading() {
    loop_.cancel(peer_timer_);
    if (socket_ >= 0)
        watch(watched_ | ACE_Event_Handler::READ_MASK);
}

/// A socket that is watched for nothing must not stay registered: the reactor works out its highest
/// descriptor from what it watches for, and ignores all calls for those above.
void connection::watch(ACE_Reactor_Mask events) {
    const ACE_Reactor_Mask before = std::exchange(watched_, events);
    const ACE_Reactor_Mask added = events & ~before;
    const ACE_Reactor_Mask dropped = before & ~events;
    ACE_Reactor& reactor = loop_.reactor();
    if (before == ACE_Event_Handler::NULL_MASK && added != ACE_Event_Handler::NULL_MASK) {
        if (reactor.register_handler(socket_, this, added) == 0)
            return;
        watched_ = ACE_Event_Handler::NULL_MASK;
        fail_soon(connecting_ ? close_reason::not_connected : close_reason::reset);
    } else if (events == ACE_Event_Handler::NULL_MASK && dropped != ACE_Event_Handler::NULL_MASK) {
        reactor.remove_handler(socket_, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    } else {
        if (added != ACE_Event_Handler::NULL_MASK)
            reactor.schedule_wakeup(socket_, added);
        if (dropped != ACE_Event_Handler::NULL_MASK)
            reactor.cancel_wakeup(socket_, dropped);
    }
}

bool connection::flush() {
    while (sent_ < unsent_.size()) {
        const auto count = ::send(socket_, unsent_.data() + sent_, unsent_.size() - sent_, MSG_NOSIGNAL);
        if (count < 0) {
            if (!would_block(errno) && errno != ENOTCONN)
                return false;
            watch(watched_ | ACE_Event_Handler::WRITE_MASK);
            if (sent_ >= least_compaction && sent_ >= unsent_.size() / 2) {
                unsent_.erase(0, sent_);
                unsent_.shrink_to_fit();
                sent_ = 0;
            }
            return true;
        }
        sent_ += static_cast<std::size_t>(count);
    }
    if (unsent_.capacity() > kept_capacity)
        std::string{}.swap(unsent_);
    unsent_.clear();
    sent_ = 0;
    watch(watched_ & ~ACE_Event_Handler::WRITE_MASK);
    if (closing_)
        ::shutdown(socket_, SHUT_WR);
    return true;
}

int connection::handle_output(ACE_HANDLE) {
    const auto self = shared_from_this();
    if (socket_ < 0)
        return 0;
    if (connecting_) {
        int code = 0;
        socklen_t size = sizeof code;
        getsockopt(socket_, SOL_SOCKET, SO_ERROR, &code, &size);
        if (code != 0) {
            fail(close_reason::not_connected);
            return 0;
        }
        sockaddr_in peer{};
        size = sizeof peer;
        if (getpeername(socket_, reinterpret_cast<sockaddr*>(&peer), &size) != 0)
            return 0; // spurious wake-up: still connecting
        connecting_ = false;
        loop_.cancel(timer_);
        if (const auto handlers = events_; handlers->on_connected)
            handlers->on_connected();
        if (socket_ < 0)
            return 0;
    }
    if (!flush()) {
        fail(close_reason::reset);
        return 0;
    }
    if (const auto handlers = events_; !writing() && handlers->on_drained)
        handlers->on_drained();
    return 0;
}

int connection::handle_input(ACE_HANDLE) {
    const auto self = shared_from_this();
    std::array<char, read_size> bytes;
    // A connection that a handler has paused is not read any further.
    const auto reading = [this] { return socket_ >= 0 && (watched_ & ACE_Event_Handler::READ_MASK) != 0; };
    for (int turn = 0; turn < reads_per_turn && reading(); ++turn) {
        const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            if (const auto handlers = events_; !closing_ && handlers->on_data)
                handlers->on_data({bytes.data(), static_cast<std::size_t>(count)});
            if (static_cast<std::size_t>(count) < bytes.size())
                break;
            continue;
        }
        if (count < 0 && would_block(errno))
            break;
        if (connecting_)
            fail(close_reason::not_connected);
        else
            fail(count == 0           ? close_reason::ended
                 : errno == ETIMEDOUT ? close_reason::timed_out
                                      : close_reason::reset);
        break;
    }
    return 0;
}

void connection::fail(close_reason reason) {
    const auto self = shared_from_this();
    if (socket_ < 0 && !connecting_)
        return;
    release();
    const auto handlers = events_;
    change_events({});
    if (handlers->on_closed)
        handlers->on_closed(reason);
}

void connection::fail_soon(close_reason reason) {
    loop_.cancel(timer_);
    timer_ = loop_.schedule(loop_.now(), [weak = weak_from_this(), reason] {
        if (const auto self = weak.lock())
            self->fail(reason);
    });
}

void connection::release() {
    connecting_ = false;
    if (socket_ >= 0) {
        watch(ACE_Event_Handler::NULL_MASK);
        ::close(socket_);
        socket_ = -1;
    }
    loop_.cancel(peer_timer_);
    loop_.cancel(timer_); // last, as the timer may hold the last reference to this connection
}

std::uint32_t peer_address_of(int socket) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET)
        return 0;
    return ntohl(peer.sin_addr.s_addr);
}

std::string address_text(std::uint32_t address) {
    const in_addr in{htonl(address)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &in, text.data(), text.size());
    return text.data();
}

bool acceptor::listen(const std::string& address) {
    sockaddr_in at{};
    if (!parse_address(address, at))
        return false;
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(socket_, accept_backlog) != 0) {
        ::close(socket_);
        socket_ = -1;
        return false;
    }
    loop_.reactor().register_handler(socket_, this, ACE_Event_Handler::ACCEPT_MASK);
    return true;
}

void acceptor::close() {
    if (socket_ < 0)
        return;
    loop_.reactor().remove_handler(socket_,
                                   ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    ::close(socket_);
    socket_ = -1;
}

std::uint16_t acceptor::port() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

int acceptor::handle_input(ACE_HANDLE) {
    for (int count = 0; count < accepts_per_turn; ++count) {
        const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
            break;
        on_accept_(socket);
    }
    return 0;
}

} // namespace waxwinglb::edge
