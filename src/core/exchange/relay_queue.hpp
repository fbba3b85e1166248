/// Updates that wait to be passed on: the newest of each subject, in the order in which the subjects came.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwinglb::core::exchange {

template<class update_type>
class relay_queue {
public:
    /// Adds an update. `content`: hash of what it says. An update that says the same as the last one about
    /// its subject is left out, unless this gateway `repeats` it.
    void put(const std::string& subject, std::uint64_t content, bool repeats, const update_type& update) {
        const bool changed = std::exchange(contents_[subject], content) != content;
        if (!changed && !repeats)
            return;
        if (waiting_.insert_or_assign(subject, update).second)
            order_.push_back(subject);
    }
    /// Removes and returns those that have waited longest, `most` at most.
    [[nodiscard]] std::vector<update_type> take(std::size_t most) {
        std::vector<update_type> out;
        for (std::size_t left = std::min(most, order_.size()); left > 0; --left) {
            out.push_back(std::move(waiting_.extract(order_.front()).mapped()));
            order_.pop_front();
        }
        return out;
    }
    [[nodiscard]] bool empty() const { return order_.empty(); }

private:
    std::unordered_map<std::string, std::uint64_t> contents_; // of each subject's last update, also if taken
    std::unordered_map<std::string, update_type> waiting_;    // by subject
    std::deque<std::string> order_;                           // subjects that wait, oldest first
};

} // namespace waxwinglb::core::exchange
