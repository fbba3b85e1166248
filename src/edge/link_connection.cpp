#include "edge/link_impl.hpp"

#include <ace/OS_NS_sys_socket.h>
#include <netinet/tcp.h>

#include <array>

namespace waxwinglb::edge {
namespace {

using core::common::error;
using core::common::time_point;

constexpr std::size_t read_chunk = 64U << 10U; // bytes per recv
constexpr int max_reads_per_wakeup = 8;        // bounds the time that one busy peer delays the others
constexpr std::size_t length_prefix = 4;

time_point now() {
    return core::common::clock::now();
}

std::size_t read_length(std::string_view prefix) {
    std::size_t out = 0;
    for (std::size_t i = 0; i < length_prefix; ++i)
        out = (out << 8U) | static_cast<unsigned char>(prefix[i]);
    return out;
}

} // namespace

void link_hub::impl::connection::begin(bool is_connecting) {
    connecting = is_connecting;
    last_received_ = now();
    stream_.enable(ACE_NONBLOCK);
    reactor(&hub_.reactor_);
    const auto mask = connecting ? ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK
                                 : ACE_Event_Handler::READ_MASK;
    awaits_writable_ = connecting;
    if (hub_.reactor_.register_handler(this, mask) != 0)
        return fail({"register", address, "the reactor has no room for another connection"});
    if (!connecting)
        send_hello();
}

void link_hub::impl::connection::send_hello() {
    int on = 1;
    stream_.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    write(encode_frame(wire::message_kind::hello, 0, hub_.options_.self));
}

void link_hub::impl::connection::write(std::string_view bytes) {
    if (failed_)
        return;
    if (unsent_.size() - unsent_start_ + bytes.size() > hub_.options_.max_unsent)
        return fail({"send", address, "the unsent bytes exceed the limit, as the peer reads too slowly"});
    if (unsent_start_ == unsent_.size()) {
        unsent_.clear();
        unsent_start_ = 0;
    }
    unsent_ += bytes;
    last_sent_ = now();
    if (!connecting && !awaits_writable_)
        flush();
}

/// Sends what the socket takes and watches for writability while bytes are left.
bool link_hub::impl::connection::flush() {
    while (unsent_start_ < unsent_.size()) {
        const ssize_t sent = stream_.send(unsent_.data() + unsent_start_, unsent_.size() - unsent_start_);
        if (sent > 0) {
            unsent_start_ += static_cast<std::size_t>(sent);
            continue;
        }
        if (sent < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            break;
        fail({"send", address, "the connection broke"});
        return false;
    }
    const bool left = unsent_start_ < unsent_.size();
    if (left && unsent_start_ > read_chunk) {
        unsent_.erase(0, unsent_start_);
        unsent_start_ = 0;
    }
    if (left && !awaits_writable_)
        hub_.reactor_.schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    if (!left && awaits_writable_)
        hub_.reactor_.cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    awaits_writable_ = left;
    return true;
}

int link_hub::impl::connection::handle_output(ACE_HANDLE handle) {
    (void)handle;
    if (failed_)
        return 0;
    if (connecting) {
        int failure = 0;
        int size = sizeof failure;
        if (stream_.get_option(SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
            fail({"connect", address, "the peer refused the connection or did not answer"});
            return 0;
        }
        connecting = false;
        last_received_ = now();
        send_hello();
    }
    flush();
    return 0;
}

int link_hub::impl::connection::handle_input(ACE_HANDLE handle) {
    (void)handle;
    std::array<char, read_chunk> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    for (int i = 0; i < max_reads_per_wakeup && !failed_; ++i) {
        const ssize_t got = stream_.recv(buffer.data(), buffer.size());
        if (got > 0) {
            last_received_ = now();
            received_.append(buffer.data(), static_cast<std::size_t>(got));
            if (!handle_frames())
                return 0;
            continue;
        }
        if (got < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            return 0;
        fail({"receive", address, got == 0 ? "the peer closed the connection" : "the connection broke"});
        return 0;
    }
    return 0;
}

bool link_hub::impl::connection::handle_frames() {
    std::size_t start = 0;
    while (received_.size() - start >= length_prefix) {
        const std::size_t length = read_length(std::string_view{received_}.substr(start));
        if (length > max_frame_bytes) {
            fail({"receive", address, "a frame of " + std::to_string(length) + " bytes exceeds the limit"});
            return false;
        }
        if (received_.size() - start < length_prefix + length)
            break;
        auto decoded = decode_frame(std::string_view{received_}.substr(start + length_prefix, length));
        start += length_prefix + length;
        if (!decoded) {
            fail({"decode frame", address, "the header is malformed"});
            return false;
        }
        if (!handle_frame(std::move(*decoded)))
            return false;
    }
    received_.erase(0, start);
    return true;
}

bool link_hub::impl::connection::handle_frame(frame&& received) {
    using kind = wire::message_kind;
    if (received.header.kind == kind::heartbeat) {
        write(encode_frame(kind::heartbeat_ack, 0, wire::heartbeat_ack{}));
        return !failed_;
    }
    if (received.header.kind == kind::heartbeat_ack)
        return true;
    if (received.header.kind == kind::hello) {
        auto hello = decode_body<wire::hello>(received.body);
        if (!hello || open_) {
            fail({"hello", address, "expected one well-formed hello, got a malformed or repeated one"});
            return false;
        }
        open_ = true;
        peer_ = std::move(*hello);
        hub_.sink_({link_event_kind::opened, id_, peer_, address, {}, {}});
        return !failed_;
    }
    if (!open_) {
        fail({"receive", address, "expected hello first, got another message"});
        return false;
    }
    hub_.sink_({link_event_kind::message, id_, peer_, address, std::move(received), {}});
    return !failed_;
}

void link_hub::impl::connection::tick(time_point at) {
    if (at - last_received_ > hub_.options_.silent_after)
        return fail({"heartbeat", address, "no bytes received within the silence limit"});
    if (!connecting && at - last_sent_ >= hub_.options_.heartbeat_every) {
        wire::heartbeat beat;
        beat.__set_sequence(++sequence_);
        write(encode_frame(wire::message_kind::heartbeat, 0, beat));
    }
}

void link_hub::impl::connection::fail(const error& why) {
    if (failed_)
        return;
    failed_ = true;
    const bool was_open = open_;
    const wire::hello peer = peer_;
    hub_.remove(id_); // keeps `this` in removed_ until the reactor's upcall has returned
    if (was_open)
        hub_.sink_({link_event_kind::closed, id_, peer, address, {}, why});
}

} // namespace waxwinglb::edge
