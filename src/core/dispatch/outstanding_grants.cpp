#include "core/dispatch/outstanding_grants.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {

using common::time_point;

void outstanding_grants::add(const std::string& gateway, std::int64_t number, const urgency& need,
                             time_point now) {
    grants_.push_back({gateway, number, now, need});
}

std::optional<urgency> outstanding_grants::give_back(const std::string& gateway, std::int64_t number) {
    const auto found = std::find_if(grants_.begin(), grants_.end(), [&](const grant& one) {
        return one.gateway == gateway && one.number == number;
    });
    if (found == grants_.end())
        return std::nullopt;
    const urgency out = std::move(found->need);
    grants_.erase(found);
    return out;
}

bool outstanding_grants::contains(const std::string& gateway, std::int64_t number) const {
    return std::any_of(grants_.begin(), grants_.end(),
                       [&](const grant& one) { return one.gateway == gateway && one.number == number; });
}

void outstanding_grants::close_earlier(const std::string& gateway, std::int64_t number) {
    std::erase_if(grants_, [&](const grant& one) { return one.gateway == gateway && one.number < number; });
}

int outstanding_grants::settle(const report_times& reported, time_point now) {
    std::erase_if(grants_, [&](const grant& one) {
        const auto found = reported.find(one.gateway);
        return found != reported.end() && found->second - one.at >= settle_time;
    });
    return static_cast<int>(
        std::erase_if(grants_, [&](const grant& one) { return now - one.at >= grant_lifetime; }));
}

} // namespace waxwinglb::core::dispatch
