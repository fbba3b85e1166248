/// A stand-in's HTTP door: hands requests to one deciding thread, and can be cut like a crashed process's.
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

/// Owns the server and the thread that handles requests and timers in turn.
class door {
public:
    using time_point = core::common::time_point;
    using handler = std::function<void(const edge::exchange_ptr&)>;

    door(std::string address, handler handle) : address_(std::move(address)), handle_(std::move(handle)) {}
    ~door() { stop(); }
    door(const door&) = delete;
    door& operator=(const door&) = delete;
    door(door&&) = delete;
    door& operator=(door&&) = delete;

    /// False if the address can't be had.
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
        cut_open();
        server_.reset();
    }
    [[nodiscard]] const std::string& address() const { return address_; } // with the port that was picked
    bool post(std::function<void()> action) { return actions_.try_push(std::move(action)); } // any thread

    // The rest is called on the deciding thread.

    void after(core::common::duration delay, std::function<void()> action) {
        timers_.emplace(core::common::clock::now() + delay, std::move(action));
    }
    void forget_timers() { timers_.clear(); }

    /// Cuts every connection and refuses new ones for a while, as a restarting process does.
    void cut_all(core::common::duration down_for) {
        cut_open();
        server_.reset();
        after(down_for, [this] { reopen(); });
    }

    /// Ends an exchange without an answer: its caller sees a broken connection.
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
        auto made = std::make_unique<edge::http_server>(
            options, [this](const edge::exchange_ptr& exchange) { receive(exchange); });
        {
            const std::scoped_lock hold{mutex_};
            down_ = false;
        }
        if (!made->start())
            return false;
        server_ = std::move(made);
        address_ = address_.substr(0, address_.rfind(':') + 1) + std::to_string(server_->port());
        return true;
    }
    void reopen() {
        constexpr core::common::milliseconds again{50};
        if (!open())
            after(again, [this] { reopen(); });
    }
    /// On the server's threads. Whatever arrives while the door is down is cut at once.
    void receive(const edge::exchange_ptr& exchange) {
        const std::scoped_lock hold{mutex_};
        if (down_ || !actions_.try_push([this, exchange] { handle_(exchange); }))
            return cut(exchange);
        std::erase_if(open_, [](const auto& one) { return one.expired(); });
        open_.push_back(exchange);
    }
    void cut_open() {
        std::vector<std::weak_ptr<edge::http_exchange>> cut_now;
        {
            const std::scoped_lock hold{mutex_};
            down_ = true;
            cut_now.swap(open_);
        }
        for (const auto& one : cut_now)
            if (const auto exchange = one.lock())
                cut(exchange);
    }
    void run() {
        for (;;) {
            const auto until = timers_.empty() ? time_point::max() : timers_.begin()->first;
            if (auto action = actions_.pop_until(std::min(until, core::common::clock::now() + longest_wait)))
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

    static constexpr core::common::milliseconds longest_wait{1'000};

    std::string address_;
    handler handle_;
    edge::ring<std::function<void()>> actions_{100'000};
    std::multimap<time_point, std::function<void()>> timers_;
    std::unique_ptr<edge::http_server> server_;
    std::mutex mutex_;
    bool down_ = false;
    std::vector<std::weak_ptr<edge::http_exchange>> open_; // may still need an answer
    std::thread thread_;
};

} // namespace waxwinglb::standins
