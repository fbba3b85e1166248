/// Connections to targets and the exchanges on them. A connection carries one request at a time, and each
/// request is sent exactly once.
#pragma once

#include "edge/connection.hpp"
#include "edge/http_reader.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace waxwinglb::programs::gateway {

/// How an exchange failed.
enum class exchange_failure {
    not_sent,  // no connection: the target never saw the request
    withdrawn, // may_send() was false: the target never saw the request
    broken,    // the connection was closed or reset before the answer was complete
    silent,    // the target's kernel no longer acknowledged anything
    malformed, // the bytes received are not an answer to this request
};

/// Which open connection may carry a request.
enum class connection_choice {
    any,    // one that is kept open, whenever that is possible
    recent, // a kept one only if it was idle for so short a time that the target surely has not closed it
    unused, // one that has carried nothing, so that no earlier answer can be written on it
};

class target_link;

/// One request at a target. The owner may call cancel() from inside an event, but must destroy the object
/// only after the event has returned.
class exchange {
public:
    struct events {
        std::function<bool()> may_send; // asked when a new connection is established; empty: always
        std::function<void(const edge::answer_head&)> on_head;
        std::function<void(std::string&&)> on_body;
        std::function<void()> on_complete;
        std::function<void(exchange_failure)> on_failed; // last event
    };
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    [[nodiscard]] bool reused_connection() const { return reused_; } // the target may have closed it before
    void cancel(); // closes the connection; no event follows
    void pause();  // backpressure from a slow caller
    void resume();

private:
    friend class target_link;
    exchange(std::shared_ptr<target_link> link, std::string request_id, events handlers);
    void receive(std::string_view bytes);
    void deliver();
    void handle_close(edge::close_reason reason);
    void fail(exchange_failure failure);
    void complete();

    std::shared_ptr<target_link> link_;
    std::string request_id_;
    events events_;
    std::shared_ptr<edge::connection> connection_;
    std::unique_ptr<edge::answer_reader> reader_;
    std::string request_; // held until the connection is open
    bool reused_ = false;
    bool other_request_ = false; // the answer being read belongs to another request
    bool head_delivered_ = false;
    int skipped_answers_ = 0;
    std::size_t skipped_bytes_ = 0; // of their bodies
};

/// All connections to one target.
class target_link : public std::enable_shared_from_this<target_link> {
public:
    struct connection_counters {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
    };
    target_link(edge::event_loop& loop, std::string address, connection_counters& totals)
        : loop_(loop), address_(std::move(address)), totals_(totals) {}
    ~target_link();
    target_link(const target_link&) = delete;
    target_link& operator=(const target_link&) = delete;
    target_link(target_link&&) = delete;
    target_link& operator=(target_link&&) = delete;

    /// Sends `request` (head and body) once. A target may write an earlier answer again on a kept connection.
    /// Its id identifies it only at a target that gets the request for the first time, so a request that
    /// comes to a target again needs an unused connection.
    std::unique_ptr<exchange> send(std::string request, const std::string& request_id,
                                   connection_choice choice, exchange::events handlers);
    [[nodiscard]] int open_count() const { return open_; }

private:
    friend class exchange;
    struct idle_connection {
        std::shared_ptr<edge::connection> connection;
        core::common::time_point since;
        core::common::time_point until; // the target may close the connection afterwards
    };
    std::shared_ptr<edge::connection> take_idle(connection_choice choice);
    void keep_idle(std::shared_ptr<edge::connection> connection, const edge::answer_head& head);
    void drop_expired();
    void schedule_expiry(); // starts the timer that closes expired idle connections

    edge::event_loop& loop_;
    std::string address_;
    connection_counters& totals_;
    std::list<idle_connection> idle_; // most recently used last
    edge::event_loop::timer_id timer_;
    int open_ = 0;
};

} // namespace waxwinglb::programs::gateway
