/// TCP links between the project's processes, on ACE sockets under one reactor thread.
///
/// An outbound link reconnects by itself for as long as it is wanted. Each end says hello first, sends
/// heartbeats and closes a link that stayed silent for `silent_after`, so that a connection which something
/// between the two ends has forgotten is replaced by a new one. Frames sent on a link that is not open are
/// dropped: the owner sees `closed` and asks again. Nothing is ever resent by the link itself.
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
    closed,  // was open before; `why` is set. An outbound link opens again later under the same id
};

struct link_event {
    link_event_kind kind = link_event_kind::closed;
    link_id link = 0;
    wire::hello peer;    // who is at the other end, as it says
    std::string address; // remote "ip:port"
    edge::frame frame;
    core::common::error why;
};

/// Called on the reactor thread; must not block. Usually pushes into a ring.
using link_sink = std::function<void(link_event&&)>;

struct link_options {
    wire::hello self;                                // sent first on each link
    core::common::milliseconds heartbeat_every{500}; // on links without other traffic
    core::common::milliseconds silent_after{2'000};  // silence that closes a link
    core::common::milliseconds reconnect_after{200}; // pause before an outbound link tries again
    std::size_t max_unsent = 32U << 20U;             // bytes; a slower peer's link is closed
};

class link_hub {
public:
    link_hub(link_options options, link_sink sink);
    ~link_hub(); // stops the thread, closes every link
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;
    link_hub(link_hub&&) = delete;
    link_hub& operator=(link_hub&&) = delete;

    void start(); // starts the reactor thread
    std::uint16_t
    listen(const std::string& address);          // "ip:port", port 0 picks one; 0 on failure. Before start()
    link_id connect(const std::string& address); // outbound link, kept until disconnect()
    void disconnect(link_id link);               // closes; no event follows

    /// From any thread. Body is any struct of namespace wire, `call` pairs answers with questions.
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
