/// Connections to targets and the exchanges on them: one request at a time on each, sent exactly once.
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
    not_sent,  // the target never saw the request: no connection
    broken,    // the connection ended or broke before the answer was whole
    malformed, // what came is no answer to this request
};

class target_link;

/// One request at a target. Its owner may cancel() it from inside an event but must destroy it later.
class exchange {
public:
    struct events {
        std::function<void(const edge::answer_head&)> on_head;
        std::function<void(std::string&&)> on_body;
        std::function<void()> on_complete;
        std::function<void(exchange_failure)> on_failed; // nothing follows
    };
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    void cancel(); // closes the connection; no event follows
    void pause();  // backpressure of a slow caller
    void resume();

private:
    friend class target_link;
    exchange(std::shared_ptr<target_link> link, std::string request_id, events handlers);
    void take(std::string_view bytes);
    void advance();
    void ended(edge::close_reason reason);
    void fail(exchange_failure how);
    void complete();

    std::shared_ptr<target_link> link_;
    std::string request_id_;
    events events_;
    std::shared_ptr<edge::connection> connection_;
    std::unique_ptr<edge::answer_reader> reader_;
    std::string request_; // until the connection is up
    bool kept_ = false;
    bool foreign_ = false; // the answer being read belongs to another request
    bool head_told_ = false;
    int skipped_ = 0;
};

/// All connections to one target.
class target_link : public std::enable_shared_from_this<target_link> {
public:
    struct counters {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
    };
    target_link(edge::event_loop& loop, std::string address, counters& totals)
        : loop_(loop), address_(std::move(address)), totals_(totals) {}
    ~target_link();
    target_link(const target_link&) = delete;
    target_link& operator=(const target_link&) = delete;
    target_link(target_link&&) = delete;
    target_link& operator=(target_link&&) = delete;

    /// Sends `request` (head and body) once. `careful`: only on a connection that the target surely still
    /// holds.
    std::unique_ptr<exchange> send(std::string request, const std::string& request_id, bool careful,
                                   exchange::events handlers);
    [[nodiscard]] int open_count() const { return open_; }

private:
    friend class exchange;
    struct idle_connection {
        std::shared_ptr<edge::connection> connection;
        core::common::time_point since;
        core::common::time_point until; // the target may close it after that
    };
    std::shared_ptr<edge::connection> take_idle(bool careful);
    void keep(std::shared_ptr<edge::connection> connection, const edge::answer_head& head);
    void drop_expired();
    void arm(); // the timer that drops idle connections

    edge::event_loop& loop_;
    std::string address_;
    counters& totals_;
    std::list<idle_connection> idle_; // the freshest last
    edge::event_loop::timer_id timer_;
    int open_ = 0;
};

} // namespace waxwinglb::programs::gateway
