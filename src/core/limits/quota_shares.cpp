#include "core/limits/quota_shares.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::limits {
namespace {

using common::time_point;

constexpr double demand_memory_s = 2.0; // time constant of the demand that shares follow
constexpr double level_at_start = 0.5;  // of the burst: a fleet that restarts must not grant it anew
constexpr common::milliseconds never_retry{30'000}; // told where the rate can't be computed

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

common::duration from_seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(value));
}

double decayed(double sum, common::duration age) {
    return sum * std::exp(-seconds(age) / demand_memory_s);
}

} // namespace

void quota_shares::configure(const std::map<std::string, fleet::customer>& customers, time_point now) {
    for (auto& [name, one] : accounts_)
        fill(name, one, now);
    std::erase_if(accounts_, [&](const auto& entry) { return !customers.contains(entry.first); });
    for (const auto& [name, customer] : customers) {
        const bool is_new = !accounts_.contains(name);
        account& one = accounts_[name];
        one.rate = customer.tokens_per_second;
        one.burst = customer.burst_tokens;
        if (is_new) {
            one.level = one.burst * level_at_start * share(name, now);
            one.filled_at = now;
        }
        one.level = std::min(one.level, one.burst * share(name, now));
    }
}

void quota_shares::change_members(std::vector<std::string> others) {
    std::erase_if(members_, [&](const auto& entry) {
        return std::find(others.begin(), others.end(), entry.first) == others.end();
    });
    for (std::string& name : others)
        if (name != self_)
            members_.try_emplace(std::move(name));
}

void quota_shares::heard(const std::string& peer, std::map<std::string, double> tokens_per_second,
                         bool hears_us, time_point now) {
    if (peer == self_)
        return;
    members_[peer] = {std::move(tokens_per_second), now, hears_us, false};
}

void quota_shares::left(const std::string& peer) {
    const auto found = members_.find(peer);
    if (found != members_.end())
        found->second.gone = true;
}

double quota_shares::asked_per_second(const std::string& customer, time_point now) const {
    const auto found = accounts_.find(customer);
    if (found == accounts_.end())
        return 0;
    return decayed(found->second.asked, now - found->second.asked_at) / demand_memory_s;
}

double quota_shares::share(const std::string& customer, time_point now) const {
    std::size_t all = 1;
    std::size_t apart = 0;
    std::size_t together = 1;
    const double own = asked_per_second(customer, now);
    double asked = own;
    for (const auto& [name, one] : members_) {
        if (one.gone)
            continue;
        ++all;
        if (!one.in_contact(now)) {
            ++apart;
            continue;
        }
        ++together;
        const auto told = one.asked.find(customer);
        asked += told == one.asked.end() ? 0 : told->second;
    }
    const double available = static_cast<double>(all - apart) / static_cast<double>(all);
    const double equal = 1.0 / static_cast<double>(together);
    const double by_demand = asked > 0 ? own / asked : equal;
    const double floor = std::min(least_part, equal);
    return available * (floor + (1 - floor * static_cast<double>(together)) * by_demand);
}

void quota_shares::fill(const std::string& customer, account& one, time_point now) {
    if (now <= one.filled_at)
        return;
    const double part = share(customer, now);
    one.level += one.rate * part * seconds(now - one.filled_at);
    one.level = std::min(one.level, one.burst * part);
    one.filled_at = now;
}

quota_answer quota_shares::take(const std::string& customer, double tokens, time_point now) {
    const auto found = accounts_.find(customer);
    if (found == accounts_.end())
        return {true, {}};
    account& one = found->second;
    one.asked = decayed(one.asked, now - one.asked_at) + tokens;
    one.asked_at = now;
    if (one.rate <= 0)
        return {true, {}};
    fill(customer, one, now);
    // A full bucket admits also a request that is larger than this router's part of the burst; the debt is
    // paid back before the next one.
    const double part = share(customer, now);
    const double needed = std::min(tokens, one.burst * part);
    if (one.level < needed) {
        const double rate = one.rate * part;
        return {false, rate > 0 ? from_seconds((needed - one.level) / rate) : common::duration{never_retry}};
    }
    one.level -= tokens;
    return {true, {}};
}

void quota_shares::give_back(const std::string& customer, double tokens) {
    const auto found = accounts_.find(customer);
    if (found != accounts_.end() && found->second.rate > 0)
        found->second.level += tokens;
}

std::vector<std::string> quota_shares::customers() const {
    std::vector<std::string> out;
    for (const auto& [name, one] : accounts_)
        out.push_back(name);
    return out;
}

} // namespace waxwinglb::core::limits
