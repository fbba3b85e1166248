#include "core/dispatch/scheduler_tenure.hpp"

#include "core/dispatch/prompt_turns.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {

using common::time_point;

void scheduler_tenure::update(std::vector<std::string> gateways, time_point now) {
    while (!former_.empty() && now - former_.front().replaced_at >= takeover_limit)
        former_.pop_front();
    if (gateways == gateways_)
        return;
    former_.push_back({std::move(gateways_), now});
    gateways_ = std::move(gateways);
}

bool scheduler_tenure::may_grant(const std::string& target, const report_times& reported,
                                 time_point now) const {
    if (now - began_at_ < takeover_limit || scheduler_of(target, gateways_) != self_)
        return false;
    return std::all_of(former_.begin(), former_.end(), [&](const former_list& list) {
        return now - list.replaced_at >= takeover_limit || scheduler_of(target, list.gateways) == self_ ||
               all_reported_since(list.replaced_at, reported);
    });
}

bool scheduler_tenure::all_reported_since(time_point since, const report_times& reported) const {
    return std::all_of(gateways_.begin(), gateways_.end(), [&](const std::string& gateway) {
        const auto found = reported.find(gateway);
        return gateway == self_ || (found != reported.end() && found->second - since >= settle_time);
    });
}

} // namespace waxwinglb::core::dispatch
