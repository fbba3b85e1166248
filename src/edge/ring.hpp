/// Bounded queue between two duties' threads: many producers, one consumer.
#pragma once

#include "core/common/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace waxwinglb::edge {

/// A full ring refuses: the producer decides what that means (shed, close the link, wait).
template<class item>
class ring {
public:
    explicit ring(std::size_t capacity) : capacity_(capacity) {}

    /// False if the ring is full or closed; `value` is left untouched then.
    bool try_push(item&& value) {
        const std::scoped_lock hold{mutex_};
        if (closed_ || items_.size() >= capacity_)
            return false;
        items_.push_back(std::move(value));
        filled_.notify_one();
        return true;
    }

    /// For producers that may be held up, never the reactor's thread; false if closed.
    bool push(item&& value) {
        std::unique_lock hold{mutex_};
        drained_.wait(hold, [&] { return closed_ || items_.size() < capacity_; });
        if (closed_)
            return false;
        items_.push_back(std::move(value));
        filled_.notify_one();
        return true;
    }

    /// Oldest item, or nothing once `until` has passed or the ring is closed and empty.
    std::optional<item> pop_until(core::common::time_point until) {
        std::unique_lock hold{mutex_};
        filled_.wait_until(hold, until, [&] { return closed_ || !items_.empty(); });
        if (items_.empty())
            return std::nullopt;
        std::optional<item> out{std::move(items_.front())};
        items_.pop_front();
        drained_.notify_one();
        return out;
    }

    void close() {
        const std::scoped_lock hold{mutex_};
        closed_ = true;
        filled_.notify_all();
        drained_.notify_all();
    }

    [[nodiscard]] bool closed() const {
        const std::scoped_lock hold{mutex_};
        return closed_;
    }

    [[nodiscard]] std::size_t size() const {
        const std::scoped_lock hold{mutex_};
        return items_.size();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable filled_;
    std::condition_variable drained_;
    std::deque<item> items_;
    std::size_t capacity_;
    bool closed_ = false;
};

} // namespace waxwinglb::edge
