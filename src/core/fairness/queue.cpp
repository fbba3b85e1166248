#include "core/fairness/queue.hpp"

#include <algorithm>

namespace waxwinglb::core::fairness {
namespace {

constexpr double min_weight = 0.001; // so that a wrong weight can't stop a customer forever

} // namespace

bool fair_queue::push(const waiting_request& request) {
    if (waiting_.size() >= capacity_ || positions_.contains(request.id))
        return false;
    const auto cost = static_cast<double>(std::max<std::int64_t>(1, request.tokens));
    const double start = tags_.charge(request.customer, cost / std::max(min_weight, request.weight));
    const position at{start, ++arrivals_};
    waiting_.emplace(at, request);
    positions_.emplace(request.id, at);
    deadlines_.emplace(std::pair{request.deadline, request.id}, request.id);
    return true;
}

std::optional<waiting_request> fair_queue::pop() {
    if (waiting_.empty())
        return std::nullopt;
    const auto first = waiting_.begin();
    tags_.advance(first->first.first);
    waiting_request out = first->second;
    erase(first);
    return out;
}

bool fair_queue::remove(std::uint64_t id) {
    const auto found = positions_.find(id);
    if (found == positions_.end())
        return false;
    erase(waiting_.find(found->second));
    return true;
}

std::vector<waiting_request> fair_queue::expire(common::time_point now) {
    std::vector<waiting_request> out;
    while (!deadlines_.empty() && deadlines_.begin()->first.first <= now) {
        const auto at = waiting_.find(positions_.at(deadlines_.begin()->second));
        out.push_back(at->second);
        erase(at);
    }
    return out;
}

const waiting_request* fair_queue::front() const {
    return waiting_.empty() ? nullptr : &waiting_.begin()->second;
}

std::size_t fair_queue::ahead_of(const std::string& customer) const {
    const position after_equals{tags_.start_of(customer), arrivals_ + 1};
    return static_cast<std::size_t>(std::distance(waiting_.begin(), waiting_.lower_bound(after_equals)));
}

common::time_point fair_queue::next_deadline() const {
    return deadlines_.empty() ? common::time_point::max() : deadlines_.begin()->first.first;
}

std::vector<waiting_request> fair_queue::all() const {
    std::vector<waiting_request> out;
    for (const auto& [at, request] : waiting_)
        out.push_back(request);
    return out;
}

void fair_queue::erase(std::map<position, waiting_request>::iterator at) {
    positions_.erase(at->second.id);
    deadlines_.erase({at->second.deadline, at->second.id});
    waiting_.erase(at);
}

} // namespace waxwinglb::core::fairness
