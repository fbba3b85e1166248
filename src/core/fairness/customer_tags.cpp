#include "core/fairness/customer_tags.hpp"

#include <algorithm>

namespace waxwinglb::core::fairness {
namespace {

constexpr std::size_t prune_threshold = 256; // customers; above it those without backlog are dropped

} // namespace

double customer_tags::start_of(const std::string& customer) const {
    const auto found = last_finish_.find(customer);
    return found == last_finish_.end() ? virtual_time_ : std::max(virtual_time_, found->second);
}

double customer_tags::charge(const std::string& customer, double cost) {
    const double start = start_of(customer);
    last_finish_[customer] = start + cost;
    return start;
}

void customer_tags::give_back(const std::string& customer, double cost) {
    if (const auto found = last_finish_.find(customer); found != last_finish_.end())
        found->second -= cost;
}

void customer_tags::advance(double start) {
    virtual_time_ = std::max(virtual_time_, start);
    prune();
}

/// Drops customers whose last finish tag has passed: they are treated like new ones.
void customer_tags::prune() {
    if (last_finish_.size() <= prune_threshold)
        return;
    std::erase_if(last_finish_, [&](const auto& entry) { return entry.second <= virtual_time_; });
}

} // namespace waxwinglb::core::fairness
