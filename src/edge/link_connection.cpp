#include "edge/link_impl.hpp"

#include <ace/OS_NS_sys_socket.h>
#include <netinet/tcp.h>

#include <array>

namespace waxwinglb::edge {
namespace {

using core::common::error;
using core::common::time_point;

constexpr std::size_t read_chunk = 64U << 10U; // bytes asked of one recv
constexpr int max_reads_per_wakeup = 8;        // keeps one busy peer from holding up the others
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
    wants_output_ = connecting;
    if (hub_.reactor_.register_handler(this, mask) != 0)
        return fail({"register", address, "the reactor took no further handle"});
    if (!connecting)
        say_hello();
}

void link_hub::impl::connection::say_hello() {
    int on = 1;
    stream_.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    write(encode_frame(wire::message_kind::hello, 0, hub_.options_.self));
}

void link_hub::impl::connection::write(std::string_view bytes) {
    if (dead_)
        return;
    if (out_.size() - out_start_ + bytes.size() > hub_.options_.max_unsent)
        return fail({"send", address, "the peer reads too slowly"});
    if (out_start_ == out_.size()) {
        out_.clear();
        out_start_ = 0;
    }
    out_ += bytes;
    last_sent_ = now();
    if (!connecting && !wants_output_)
        flush();
}

/// Sends what the socket takes; asks the reactor for a wake-up if something is left.
bool link_hub::impl::connection::flush() {
    while (out_start_ < out_.size()) {
        const ssize_t sent = stream_.send(out_.data() + out_start_, out_.size() - out_start_);
        if (sent > 0) {
            out_start_ += static_cast<std::size_t>(sent);
            continue;
        }
        if (sent < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            break;
        fail({"send", address, "the connection broke"});
        return false;
    }
    const bool left = out_start_ < out_.size();
    if (left && out_start_ > read_chunk) {
        out_.erase(0, out_start_);
        out_start_ = 0;
    }
    if (left && !wants_output_)
        hub_.reactor_.schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    if (!left && wants_output_)
        hub_.reactor_.cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    wants_output_ = left;
    return true;
}

int link_hub::impl::connection::handle_output(ACE_HANDLE handle) {
    (void)handle;
    if (dead_)
        return 0;
    if (connecting) {
        int failure = 0;
        int size = sizeof failure;
        if (stream_.get_option(SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
            fail({"connect", address, "the peer does not answer"});
            return 0;
        }
        connecting = false;
        last_received_ = now();
        say_hello();
    }
    flush();
    return 0;
}

int link_hub::impl::connection::handle_input(ACE_HANDLE handle) {
    (void)handle;
    std::array<char, read_chunk> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    for (int i = 0; i < max_reads_per_wakeup && !dead_; ++i) {
        const ssize_t got = stream_.recv(buffer.data(), buffer.size());
        if (got > 0) {
            last_received_ = now();
            in_.append(buffer.data(), static_cast<std::size_t>(got));
            if (!take_frames())
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

bool link_hub::impl::connection::take_frames() {
    std::size_t start = 0;
    while (in_.size() - start >= length_prefix) {
        const std::size_t length = read_length(std::string_view{in_}.substr(start));
        if (length > max_frame_bytes) {
            fail({"receive", address, "a frame of " + std::to_string(length) + " bytes is over the limit"});
            return false;
        }
        if (in_.size() - start < length_prefix + length)
            break;
        auto received = decode_frame(std::string_view{in_}.substr(start + length_prefix, length));
        start += length_prefix + length;
        if (!received) {
            fail({"decode frame", address, "the header is malformed"});
            return false;
        }
        if (!take(std::move(*received)))
            return false;
    }
    in_.erase(0, start);
    return true;
}

bool link_hub::impl::connection::take(frame&& received) {
    using kind = wire::message_kind;
    if (received.header.kind == kind::heartbeat) {
        write(encode_frame(kind::heartbeat_ack, 0, wire::heartbeat_ack{}));
        return !dead_;
    }
    if (received.header.kind == kind::heartbeat_ack)
        return true;
    if (received.header.kind == kind::hello) {
        auto hello = decode_body<wire::hello>(received.body);
        if (!hello || open_) {
            fail({"hello", address, "malformed or repeated"});
            return false;
        }
        open_ = true;
        peer_ = std::move(*hello);
        hub_.sink_({link_event_kind::opened, id_, peer_, address, {}, {}});
        return !dead_;
    }
    if (!open_) {
        fail({"receive", address, "a message came before hello"});
        return false;
    }
    hub_.sink_({link_event_kind::message, id_, peer_, address, std::move(received), {}});
    return !dead_;
}

void link_hub::impl::connection::tick(time_point at) {
    if (at - last_received_ > hub_.options_.silent_after)
        return fail({"heartbeat", address, "the connection is silent"});
    if (!connecting && at - last_sent_ >= hub_.options_.heartbeat_every) {
        wire::heartbeat beat;
        beat.__set_sequence(++sequence_);
        write(encode_frame(wire::message_kind::heartbeat, 0, beat));
    }
}

void link_hub::impl::connection::fail(const error& why) {
    if (dead_)
        return;
    dead_ = true;
    const bool was_open = open_;
    const wire::hello peer = peer_;
    hub_.remove(id_); // `this` lives on in the graveyard until the upcall returns
    if (was_open)
        hub_.sink_({link_event_kind::closed, id_, peer, address, {}, why});
}

} // namespace waxwinglb::edge
