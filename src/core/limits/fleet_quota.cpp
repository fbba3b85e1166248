#include "core/limits/fleet_quota.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::limits {
namespace {

using common::time_point;

constexpr double level_at_start = 0.5; // of the burst: a fleet that restarts must not grant it anew
constexpr double needed_part = 0.5; // of the burst: a larger request is admitted into debt once that is there

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

common::duration from_seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(value));
}

} // namespace

void fleet_quota::configure(const std::map<std::string, fleet::customer>& customers, time_point now) {
    for (auto& [name, one] : accounts_)
        fill(one, now);
    std::erase_if(accounts_, [&](const auto& entry) { return !customers.contains(entry.first); });
    for (const auto& [name, customer] : customers) {
        const bool is_new = !accounts_.contains(name);
        account& one = accounts_[name];
        one.rate = customer.tokens_per_second;
        one.burst = customer.burst_tokens;
        if (is_new) {
            one.level = one.burst * level_at_start;
            one.filled_at = now;
        }
        one.level = std::min(one.level, one.burst * available_part(now));
    }
}

void fleet_quota::change_members(const std::vector<std::string>& others) {
    std::erase_if(members_, [&](const auto& entry) {
        return std::find(others.begin(), others.end(), entry.first) == others.end();
    });
    for (const std::string& name : others)
        if (name != self_)
            members_.try_emplace(name);
}

void fleet_quota::merge_report(const std::string& peer, std::int64_t boot, taken_tokens taken, bool hears_us,
                               time_point now) {
    if (peer == self_)
        return;
    member& one = members_[peer];
    const bool same_start = one.boot == boot;
    for (const auto& [customer, total] : taken) {
        const auto found = accounts_.find(customer);
        const auto before = one.taken.find(customer);
        if (found == accounts_.end() || !same_start)
            continue; // the first word of a start only tells where it stands
        fill(found->second, now);
        found->second.level -= total - (before == one.taken.end() ? 0 : before->second);
    }
    one = {boot, std::move(taken), now, hears_us, false};
}

void fleet_quota::mark_departed(const std::string& peer) {
    const auto found = members_.find(peer);
    if (found != members_.end())
        found->second.gone = true;
}

double fleet_quota::available_part(time_point now) const {
    double all = 1;
    double apart = 0;
    for (const auto& [name, one] : members_) {
        if (one.gone)
            continue;
        all += 1;
        apart += one.in_contact(now) ? 0 : 1;
    }
    return (all - apart) / all;
}

void fleet_quota::fill(account& one, time_point now) const {
    if (now <= one.filled_at)
        return;
    const double part = available_part(now);
    one.level = std::min(one.level + one.rate * part * seconds(now - one.filled_at), one.burst * part);
    one.filled_at = now;
}

quota_answer fleet_quota::take(const std::string& customer, double tokens, time_point now) {
    const auto found = accounts_.find(customer);
    if (found == accounts_.end() || found->second.rate <= 0)
        return {true, {}};
    account& one = found->second;
    fill(one, now);
    const double part = available_part(now);
    const double needed = std::min(tokens, one.burst * part * needed_part);
    if (one.level < needed)
        return {false, from_seconds((needed - one.level) / (one.rate * part))};
    one.level -= tokens;
    taken_[customer] += tokens;
    return {true, {}};
}

void fleet_quota::give_back(const std::string& customer, double tokens) {
    const auto found = accounts_.find(customer);
    if (found == accounts_.end() || found->second.rate <= 0)
        return;
    found->second.level += tokens;
    taken_[customer] -= tokens;
}

double fleet_quota::level(const std::string& customer) const {
    const auto found = accounts_.find(customer);
    return found == accounts_.end() ? 0 : found->second.level;
}

} // namespace waxwinglb::core::limits
