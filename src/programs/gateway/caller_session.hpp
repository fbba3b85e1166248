/// One caller's connection: reads requests one after the other and writes their answers.
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
    struct owner {
        std::function<void(const std::shared_ptr<caller_session>&, edge::wire_request&&)> on_request;
        std::function<void(caller_session&)> on_gone;    // the caller left while its request is open
        std::function<void(caller_session&)> on_drained; // what was written has left this process
        std::function<void(caller_session&)> on_closed;  // the connection is over
        std::function<bool()> ending;                    // the process ends: close after the next answer
    };

    caller_session(edge::event_loop& loop, const core::fleet::ingress_limits& limits, const owner& to)
        : loop_(loop), limits_(limits), owner_(to), reader_(limits.max_header, limits.max_body) {}

    void start(int socket);

    /// A whole answer. `fields` without those that concern the connection and without a length.
    void answer(int status, const std::vector<edge::http_field>& fields, std::string_view body);
    // An answer in pieces.
    void begin_answer(int status, const std::vector<edge::http_field>& fields);
    void write(std::string_view piece);
    void end_answer();
    void abort(); // closes at once: an answer under way must not look complete

    [[nodiscard]] bool answer_begun() const { return begun_; }
    [[nodiscard]] std::size_t unsent() const { return connection_ ? connection_->unsent() : 0; }
    void close_if_idle(); // at the end of the process

private:
    void take_in(std::string_view bytes);
    void next_request();
    void refuse(int status);
    void finish();
    void arm();
    void check_limits();
    void closed();
    [[nodiscard]] std::string head(int status, const std::vector<edge::http_field>& fields) const;

    edge::event_loop& loop_;
    core::fleet::ingress_limits limits_;
    const owner& owner_;
    edge::request_reader reader_;
    std::shared_ptr<edge::connection> connection_;
    edge::event_loop::timer_id timer_;
    core::common::time_point limit_at_{};
    bool busy_ = false;      // a request is open
    bool begun_ = false;     // its answer has begun
    bool keep_alive_ = true; // the caller takes another answer on this connection
    bool paused_ = false;
    bool continued_ = false;       // "100 Continue" has been sent for this request
    bool timer_in_header_ = false; // the timer bounds a header that is being read
};

[[nodiscard]] std::string_view reason_of(int status);

} // namespace waxwinglb::programs::gateway
