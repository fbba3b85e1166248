/// One caller's connection: reads requests one at a time and writes their answers.
#pragma once

#include "core/fleet/model.hpp"
#include "edge/connection.hpp"
#include "edge/http_reader.hpp"

#include <array>
#include <functional>
#include <memory>

namespace waxwinglb::programs::gateway {

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    struct callbacks {
        std::function<void(const std::shared_ptr<caller_session>&, edge::wire_request&&)> on_request;
        std::function<void(caller_session&)> on_disconnected; // by the caller, while its request was open
        std::function<void(caller_session&)> on_drained;      // the output buffer is empty
        std::function<void(caller_session&)> on_closed;       // the connection is closed
        std::function<bool()> draining; // the process is ending: close after the next answer
        std::function<core::fleet::ingress_limits()> limits; // in force now
    };

    caller_session(edge::event_loop& loop, const callbacks& handlers)
        : loop_(loop), limits_(handlers.limits()), callbacks_(handlers),
          reader_(limits_.max_header, limits_.max_body) {}

    void start(int socket);

    /// Sends a whole answer. `fields` must not contain connection headers or Content-Length.
    void answer(int status, const std::vector<edge::http_field>& fields, std::string_view body);
    // Streamed answer.
    void begin_answer(int status, const std::vector<edge::http_field>& fields);
    void write(std::string_view piece);
    void end_answer();
    void abort(); // closes at once, so that an unfinished answer doesn't look complete

    [[nodiscard]] bool answer_begun() const { return answer_begun_; }
    [[nodiscard]] std::size_t unsent() const { return connection_ ? connection_->unsent() : 0; }
    void close_if_idle(); // when the process ends; drops what is unsent

private:
    void receive(std::string_view bytes);
    void open_request();
    void update_limits(); // for the request that begins next
    void refuse(int status);
    void finish_answer();
    void restart_timeout();
    void handle_timeout();
    void handle_close();
    [[nodiscard]] std::string head(int status, const std::vector<edge::http_field>& fields) const;

    edge::event_loop& loop_;
    core::fleet::ingress_limits limits_; // of the request being read
    const callbacks& callbacks_;
    edge::request_reader reader_;
    std::shared_ptr<edge::connection> connection_;
    edge::event_loop::timer_id timer_;
    core::common::time_point timeout_at_{};
    bool request_open_ = false;
    bool answer_begun_ = false;
    bool keep_alive_ = true; // the caller wants to reuse the connection
    bool closing_ = false;   // the last answer has been handed over; the connection closes when it is sent
    bool paused_ = false;
    bool continue_sent_ = false;  // "100 Continue" was sent for this request
    bool header_timeout_ = false; // the timer is the header timeout, not the idle timeout
};

[[nodiscard]] std::string_view reason_phrase(int status);

} // namespace waxwinglb::programs::gateway
