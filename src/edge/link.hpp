/// TCP links between the project's processes, on ACE sockets with one reactor thread.
///
/// An outbound link reconnects until disconnect() is called. Each end sends hello first, then heartbeats, and
/// closes a link on which no byte has arrived for `silent_after`: that replaces a connection whose state a
/// device in between, such as a firewall, has dropped. Frames sent on a link that is not open are dropped,
/// and a link never resends: its owner sees `closed` and repeats its request.
#pragma once

#include "core/common/error.hpp"
#include "core/common/time.hpp"
#include "edge/codec.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace waxwinglb::edge {

using link_id = std::uint64_t; // unique within a process, never reused

enum class link_event_kind {
    opened,  // hello received; `peer` is set
    message, // `frame` is set
    closed,  // after opened; `why` is set. An outbound link opens again later under the same id
};

struct link_event {
    link_event_kind kind = link_event_kind::closed;
    link_id link = 0;
    wire::hello peer;    // hello of the other end
    std::string address; // remote "ip:port"
    edge::frame frame;
    core::common::error why;
};

/// Called on the reactor thread; must not block. Usually pushes the event into a ring.
using link_sink = std::function<void(link_event&&)>;

struct link_options {
    wire::hello self;                                // sent first on each link
    core::common::milliseconds heartbeat_every{500}; // on links without other traffic
    core::common::milliseconds silent_after{2'000};  // time without received bytes that closes a link
    core::common::milliseconds reconnect_after{200}; // pause between two attempts of an outbound link
    std::size_t max_unsent = 32U << 20U;             // bytes; the link is closed if its peer reads too slowly
};

class link_hub {
public:
    link_hub(link_options options, link_sink sink);
    ~link_hub(); // stops the thread and closes every link
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;
    link_hub(link_hub&&) = delete;
    link_hub& operator=(link_hub&&) = delete;

    void start(); // starts the reactor thread
    std::uint16_t
    listen(const std::string& address);          // "ip:port", port 0 picks one; 0 on failure. Before start()
    link_id connect(const std::string& address); // outbound link, kept until disconnect()
    void disconnect(link_id link);               // closes the link; no event follows

    /// May be called from any thread. `body` is any struct of namespace wire; an answer carries the `call` of
    /// its request.
    template<class body_type>
    void send(link_id link, wire::message_kind::type kind, std::int64_t call, const body_type& body) {
        send_bytes(link, encode_frame(kind, call, body));
    }
    void send_bytes(link_id link, std::string frame_bytes);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace waxwinglb::edge
