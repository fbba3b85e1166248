/// HTTP server of a stand-in: handles requests on one worker thread and can simulate a crash and restart.
#pragma once

#include "core/common/time.hpp"
#include "edge/http_server.hpp"
#include "edge/ring.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace waxwinglb::standins {

/// Owns the HTTP server and the worker thread, which runs requests and timers one after the other.
class stand_in_server {
public:
    using time_point = core::common::time_point;
    using handler = std::function<void(const edge::exchange_ptr&)>;

    stand_in_server(std::string address, handler handle)
        : address_(std::move(address)), handle_(std::move(handle)) {}
    ~stand_in_server() { stop(); }
    stand_in_server(const stand_in_server&) = delete;
    stand_in_server& operator=(const stand_in_server&) = delete;
    stand_in_server(stand_in_server&&) = delete;
    stand_in_server& operator=(stand_in_server&&) = delete;

    /// Returns false if the address cannot be bound.
    bool start() {
        if (!open())
            return false;
        thread_ = std::thread{[this] { run(); }};
        return true;
    }
    void stop() {
        actions_.close();
        if (thread_.joinable())
            thread_.join();
        cut_open_exchanges();
        server_.reset();
    }
    [[nodiscard]] const std::string& address() const { return address_; } // includes the port that was bound
    bool post(std::function<void()> action) { return actions_.try_push(std::move(action)); } // any thread

    // Call run_after, cancel_timers and simulate_restart on the worker thread only.

    void run_after(core::common::duration delay, std::function<void()> action) {
        timers_.emplace(core::common::clock::now() + delay, std::move(action));
    }
    void cancel_timers() { timers_.clear(); }

    /// Cuts every connection and refuses new ones for `down_for`, like a restarting process.
    void simulate_restart(core::common::duration down_for) {
        cut_open_exchanges();
        server_.reset();
        run_after(down_for, [this] { reopen(); });
    }

    /// Ends an exchange without a response; the caller sees a broken connection.
    static void cut(const edge::exchange_ptr& exchange) {
        exchange->begin_stream(200, {});
        exchange->abort_stream();
    }
    static void answer(const edge::exchange_ptr& exchange, int status, const std::string& body,
                       const char* type = "application/json") {
        exchange->respond({status, {{"Content-Type", type}}, body});
    }

private:
    bool open() {
        edge::http_server_options options;
        options.address = address_;
        auto server = std::make_unique<edge::http_server>(
            options, [this](const edge::exchange_ptr& exchange) { receive(exchange); });
        {
            const std::scoped_lock hold{mutex_};
            down_ = false;
        }
        if (!server->start())
            return false;
        server_ = std::move(server);
        address_ = address_.substr(0, address_.rfind(':') + 1) + std::to_string(server_->port());
        return true;
    }
    void reopen() {
        constexpr core::common::milliseconds retry_interval{50};
        if (!open())
            run_after(retry_interval, [this] { reopen(); });
    }
    /// Runs on the HTTP server's threads. Requests that arrive while the server is down are cut at once.
    void receive(const edge::exchange_ptr& exchange) {
        const std::scoped_lock hold{mutex_};
        if (down_ || !actions_.try_push([this, exchange] { handle_(exchange); }))
            return cut(exchange);
        std::erase_if(open_exchanges_, [](const auto& exchange_ref) { return exchange_ref.expired(); });
        open_exchanges_.push_back(exchange);
    }
    void cut_open_exchanges() {
        std::vector<std::weak_ptr<edge::http_exchange>> to_cut;
        {
            const std::scoped_lock hold{mutex_};
            down_ = true;
            to_cut.swap(open_exchanges_);
        }
        for (const auto& exchange_ref : to_cut)
            if (const auto exchange = exchange_ref.lock())
                cut(exchange);
    }
    void run() {
        for (;;) {
            const auto wake_at = timers_.empty() ? time_point::max() : timers_.begin()->first;
            if (auto action = actions_.pop_until(std::min(wake_at, core::common::clock::now() + max_wait)))
                (*action)();
            else if (actions_.closed())
                return;
            while (!timers_.empty() && timers_.begin()->first <= core::common::clock::now()) {
                const auto due = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                due();
            }
        }
    }

    static constexpr core::common::milliseconds max_wait{1'000};

    std::string address_;
    handler handle_;
    edge::ring<std::function<void()>> actions_{100'000};
    std::multimap<time_point, std::function<void()>> timers_;
    std::unique_ptr<edge::http_server> server_;
    std::mutex mutex_;
    bool down_ = false;
    std::vector<std::weak_ptr<edge::http_exchange>> open_exchanges_; // may still need a response
    std::thread thread_;
};

} // namespace waxwinglb::standins
