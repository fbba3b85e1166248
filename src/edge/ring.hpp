/// Bounded queue between threads: many producers, one consumer.
#pragma once

#include "core/common/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace waxwinglb::edge {

/// A full ring refuses items; the producer decides what follows (shed load, close the link, wait).
template<class item>
class ring {
public:
    explicit ring(std::size_t capacity) : capacity_(capacity) {}

    /// Returns false if the ring is full or closed, and then leaves `value` untouched.
    bool try_push(item&& value) {
        const std::scoped_lock hold{mutex_};
        if (closed_ || items_.size() >= capacity_)
            return false;
        items_.push_back(std::move(value));
        not_empty_.notify_one();
        return true;
    }

    /// Waits while the ring is full; false if closed. Not for threads that must not block, such as a
    /// reactor's.
    bool push(item&& value) {
        std::unique_lock hold{mutex_};
        not_full_.wait(hold, [&] { return closed_ || items_.size() < capacity_; });
        if (closed_)
            return false;
        items_.push_back(std::move(value));
        not_empty_.notify_one();
        return true;
    }

    /// Returns the oldest item, or nullopt once `until` has passed or the ring is closed and empty.
    std::optional<item> pop_until(core::common::time_point until) {
        std::unique_lock hold{mutex_};
        not_empty_.wait_until(hold, until, [&] { return closed_ || !items_.empty(); });
        if (items_.empty())
            return std::nullopt;
        std::optional<item> out{std::move(items_.front())};
        items_.pop_front();
        not_full_.notify_one();
        return out;
    }

    void close() {
        const std::scoped_lock hold{mutex_};
        closed_ = true;
        not_empty_.notify_all();
        not_full_.notify_all();
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
    std::condition_variable not_empty_;
    std::condition_variable not_full_;
    std::deque<item> items_;
    std::size_t capacity_;
    bool closed_ = false;
};

} // namespace waxwinglb::edge
