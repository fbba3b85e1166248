#include "core/limits/fleet_quota.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::core::limits {
namespace {

using common::time_point;

constexpr double initial_level = 0.5; // part of the burst: a restarting fleet must not grant all of it again
constexpr double required_part = 0.5; // of the burst; enough to grant a larger request, which leaves a debt

double seconds(common::duration value) {
    return std::chrono::duration<double>(value).count();
}

common::duration from_seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(value));
}

} // namespace

void fleet_quota::configure(const std::map<std::string, fleet::customer>& customers, time_point now) {
    const double part = available_part(now);
    for (auto& [name, state] : accounts_)
        refill(state, part, now);
    std::erase_if(accounts_, [&](const auto& entry) { return !customers.contains(entry.first); });
    for (const auto& [name, customer] : customers) {
        const bool is_new = !accounts_.contains(name);
        account& state = accounts_[name];
        state.rate = customer.tokens_per_second;
        state.burst = customer.burst_tokens;
        if (is_new) {
            state.level = state.burst * initial_level;
            state.refilled_at = now;
        }
        state.level = std::min(state.level, state.burst * part);
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

void fleet_quota::merge_report(const std::string& peer, std::int64_t boot, taken_tokens taken,
                               bool has_our_report, time_point now) {
    if (peer == self_)
        return;
    member& state = members_[peer];
    const bool same_process = state.boot == boot;
    const double part = available_part(now);
    for (const auto& [customer, total] : taken) {
        const auto found = accounts_.find(customer);
        const auto before = state.taken.find(customer);
        if (found == accounts_.end() || !same_process)
            continue; // the first report of a process only sets the baseline
        const double added = total - (before == state.taken.end() ? 0 : before->second);
        refill(found->second, part, now);
        found->second.level -= added;
        group_taken_[customer] += added;
    }
    state = {boot, std::move(taken), now, has_our_report, false};
}

void fleet_quota::mark_departed(const std::string& peer) {
    const auto found = members_.find(peer);
    if (found != members_.end())
        found->second.departed = true;
}

void fleet_quota::take_outside(const taken_tokens& added, time_point now) {
    const double part = available_part(now);
    for (const auto& [customer, tokens] : added) {
        const auto found = accounts_.find(customer);
        if (found == accounts_.end())
            continue;
        refill(found->second, part, now);
        found->second.level -= tokens;
    }
}

void fleet_quota::set_outside(outside_members outside, time_point now) {
    outside_ = outside;
    outside_set_at_ = now;
}

double fleet_quota::available_part(time_point now) const {
    // More may be in contact than are registered here: gateways that have just started.
    const int outside = std::max(outside_.known - outside_.departed, outside_.in_contact);
    double all = 1.0 + outside;
    double unreachable = now - outside_set_at_ <= contact_limit ? outside - outside_.in_contact : outside;
    for (const auto& [name, state] : members_) {
        if (state.departed)
            continue;
        all += 1;
        unreachable += state.in_contact(now) ? 0 : 1;
    }
    return (all - unreachable) / all;
}

void fleet_quota::refill(account& state, double part, time_point now) {
    if (now <= state.refilled_at)
        return;
    state.level =
        std::min(state.level + state.rate * part * seconds(now - state.refilled_at), state.burst * part);
    state.refilled_at = now;
}

quota_answer fleet_quota::check(const std::string& customer, double tokens, time_point now) {
    const auto found = accounts_.find(customer);
    if (found == accounts_.end() || found->second.rate <= 0)
        return {true, {}};
    account& state = found->second;
    const double part = available_part(now);
    refill(state, part, now);
    const double needed = std::min(tokens, state.burst * part * required_part);
    if (state.level < needed)
        return {false, from_seconds((needed - state.level) / (state.rate * part))};
    return {true, {}};
}

quota_answer fleet_quota::take(const std::string& customer, double tokens, time_point now) {
    const auto answer = check(customer, tokens, now);
    const auto found = accounts_.find(customer);
    if (!answer.granted || found == accounts_.end() || found->second.rate <= 0)
        return answer;
    found->second.level -= tokens;
    taken_[customer] += tokens;
    group_taken_[customer] += tokens;
    return answer;
}

void fleet_quota::give_back(const std::string& customer, double tokens) {
    const auto found = accounts_.find(customer);
    if (found == accounts_.end() || found->second.rate <= 0)
        return;
    found->second.level += tokens;
    taken_[customer] -= tokens;
    group_taken_[customer] -= tokens;
}

double fleet_quota::level(const std::string& customer) const {
    const auto found = accounts_.find(customer);
    return found == accounts_.end() ? 0 : found->second.level;
}

} // namespace waxwinglb::core::limits
