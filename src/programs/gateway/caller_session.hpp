/// One caller's connection: reads requests one at a time and writes their answers. Accounts for the memory
/// that they take with the client ledger, waits where there is no room, and stops reading ahead of its
/// caller's reading.
#pragma once

#include "core/fleet/model.hpp"
#include "core/ingress/client_ledger.hpp"
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
        core::ingress::client_ledger* ledger = nullptr;
        std::function<void()> on_room; // memory was released
        std::function<void(const caller_session&, const char* action, const char* reason)> on_limited;
    };

    caller_session(edge::event_loop& loop, const callbacks& handlers)
        : loop_(loop), limits_(handlers.limits()), callbacks_(handlers),
          reader_(limits_.max_header, limits_.max_body), ledger_(*handlers.ledger) {}

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
    /// Unsent bytes from which on nothing more is read from a target.
    [[nodiscard]] std::size_t max_unsent() const;
    /// Asks for room for `bytes` of the open request's answer that are not sent yet. False: there is none
    /// now; on_drained follows when there is.
    [[nodiscard]] bool reserve_answer(std::size_t bytes);
    void close_if_idle(); // when the process ends; drops what is unsent

    // For the client guard.
    [[nodiscard]] core::ingress::connection_id id() const { return id_; }
    [[nodiscard]] core::ingress::peer_address peer() const { return peer_; }
    /// Customer of its latest request, as far as known; `key`: of the request that is half read.
    [[nodiscard]] const std::string& customer() const { return customer_; }
    [[nodiscard]] std::string key() const;
    void note_customer(const std::string& name) { customer_ = name; }
    void handle_room();                        // there is room for what it waited for
    void refuse_for_room();                    // its request, which has not begun to run
    void note_progress();                      // of its caller's reading
    [[nodiscard]] bool may_be_evicted() const; // no byte is on its way in either direction
    void drop();                               // closes at once
    /// The caller has closed, which the event loop may not have come to yet.
    [[nodiscard]] bool caller_has_left() const { return !connection_ || connection_->peer_has_closed(); }

private:
    void receive(std::string_view bytes);
    void store(std::string_view bytes);
    void limit_read_ahead();
    void resume_reading();
    bool account();
    void wait_for_room();
    void open_request();
    void update_limits(); // for the request that begins next
    void refuse(int status, const std::vector<edge::http_field>& fields = {});
    void finish_answer();
    void read_next();
    void handle_drained();
    void note_unread();
    void charge(std::size_t bytes);
    void restart_timeout();
    void handle_timeout();
    void handle_close();
    void leave();
    [[nodiscard]] bool busy() const { return request_open_ || answers_unread_; }
    [[nodiscard]] std::string head(int status, const std::vector<edge::http_field>& fields) const;

    edge::event_loop& loop_;
    core::fleet::ingress_limits limits_; // of the request being read
    const callbacks& callbacks_;
    edge::request_reader reader_;
    core::ingress::client_ledger& ledger_;
    core::ingress::connection_id id_ = 0;
    core::ingress::peer_address peer_ = 0;
    std::string customer_;
    std::shared_ptr<edge::connection> connection_;
    edge::event_loop::timer_id timer_;
    core::common::time_point timeout_at_{};
    std::size_t charged_ = 0;        // for the request, as the ledger has it
    std::size_t open_cost_ = 0;      // part of it: of the open request
    std::size_t answer_charged_ = 0; // for its answer
    std::size_t wanted_ = 0;         // amount that it waits for
    std::size_t unread_ = 0;
    bool request_open_ = false;
    bool answer_begun_ = false;
    bool keep_alive_ = true;    // the caller wants to reuse the connection
    bool closing_ = false;      // the last answer has been handed over; the connection closes when it is sent
    bool paused_ = false;       // enough has been read ahead
    bool awaits_room_ = false;  // reading is paused until there is room
    bool answer_waits_ = false; // its answer waits for room
    bool answers_unread_ = false; // the next request waits until the caller has taken its answers
    bool continue_sent_ = false;  // "100 Continue" was sent for this request
    bool header_timeout_ = false; // the timer is the header timeout, not the idle timeout
};

[[nodiscard]] std::string_view reason_phrase(int status);

} // namespace waxwinglb::programs::gateway
