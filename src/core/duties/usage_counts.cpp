#include "core/duties/usage_counts.hpp"

#include <algorithm>

namespace waxwinglb::core::duties {
namespace {

using common::milliseconds;

constexpr std::size_t max_customers = 5'000;         // of one window at one gateway
constexpr std::size_t max_boots = 16;                // of one gateway within the retention
constexpr std::int64_t max_requests = 1'000'000'000; // of one customer in one window

} // namespace

std::int64_t usage_windows::at(milliseconds true_ms) const {
    const std::int64_t whole = true_ms / length;
    return true_ms.count() < 0 && true_ms % length != milliseconds{0} ? whole - 1 : whole;
}

/// Clocks of two gateways may differ a little, so the window after the current one is accepted too.
bool usage_windows::kept(std::int64_t window, milliseconds true_ms) const {
    const std::int64_t current = at(true_ms);
    return window <= current + 1 && window >= at(true_ms - usage_retention - length) &&
           true_ms <= end_of(window) + usage_retention;
}

void usage_counter::add(const std::string& customer, milliseconds began, milliseconds true_now) {
    const std::int64_t window = windows_.at(began);
    if (customer.empty())
        return;
    customer_counts* counts = windows_.kept(window, true_now) ? &counts_[window] : nullptr;
    if (counts == nullptr || (counts->size() >= max_customers && !counts->contains(customer))) {
        ++left_out_;
        return;
    }
    ++(*counts)[customer];
}

const window_counts& usage_counter::totals(milliseconds true_now) {
    std::erase_if(counts_, [&](const auto& known) { return !windows_.kept(known.first, true_now); });
    counts_[windows_.at(true_now)];
    return counts_;
}

int usage_totals::note(const std::string& gateway, std::int64_t boot, const window_counts& reported,
                       milliseconds true_now) {
    int unusable = 0;
    source& from = sources_[gateway];
    if (!from.by_boot.contains(boot) && from.by_boot.size() >= max_boots)
        from.by_boot.erase(from.by_boot.begin());
    window_counts& totals = from.by_boot[boot];
    from.reported_at = true_now;
    from.newest_window = 0;
    for (const auto& [window, counts] : reported) {
        if (!windows_.kept(window, true_now)) {
            ++unusable;
            continue;
        }
        from.newest_window = std::max(from.newest_window, window);
        customer_counts& known = totals[window];
        for (const auto& [customer, count] : counts) {
            const bool usable = !customer.empty() && count > 0 && count <= max_requests &&
                                (known.contains(customer) || known.size() < max_customers);
            if (!usable) {
                ++unusable;
                continue;
            }
            std::int64_t& total = known[customer]; // totals only grow: a late message must not lower one
            total = std::max(total, count);
        }
    }
    return unusable;
}

void usage_totals::forget_old(milliseconds true_now) {
    for (auto& [name, from] : sources_)
        for (auto& [boot, totals] : from.by_boot)
            std::erase_if(totals, [&](const auto& known) { return !windows_.kept(known.first, true_now); });
    for (auto& [name, from] : sources_)
        std::erase_if(from.by_boot, [](const auto& known) { return known.second.empty(); });
    std::erase_if(sources_, [](const auto& known) { return known.second.by_boot.empty(); });
}

customer_counts usage_totals::sum(std::int64_t window) const {
    customer_counts out;
    for (const auto& [name, from] : sources_)
        for (const auto& [boot, totals] : from.by_boot)
            if (const auto found = totals.find(window); found != totals.end())
                for (const auto& [customer, count] : found->second)
                    out[customer] += count;
    return out;
}

bool usage_totals::has_final(const std::string& gateway, std::int64_t window, milliseconds settle) const {
    const auto found = sources_.find(gateway);
    return found != sources_.end() && found->second.newest_window > window &&
           found->second.reported_at >= windows_.end_of(window) + settle;
}

std::set<std::string> usage_totals::gateways(std::int64_t window) const {
    std::set<std::string> out;
    for (const auto& [name, from] : sources_)
        for (const auto& [boot, totals] : from.by_boot)
            if (totals.contains(window))
                out.insert(name);
    return out;
}

} // namespace waxwinglb::core::duties
