#include "core/membership/catch_up.hpp"

#include <algorithm>

namespace waxwinglb::core::membership {

void catch_up::registrations_read(std::span<const std::int64_t> running_since, std::int64_t era,
                                  common::time_point now) {
    if (until_)
        return;
    const bool ran_before = std::any_of(running_since.begin(), running_since.end(),
                                        [&](std::int64_t started_in) { return started_in < era; });
    until_ = ran_before ? now + limit : now;
}

void catch_up::configuration_read(common::time_point now) {
    if (!config_until_)
        config_until_ = now + limit;
}

bool catch_up::done(common::time_point now) const {
    return informed_ || (until_ && now >= *until_) || (config_until_ && now >= *config_until_);
}

} // namespace waxwinglb::core::membership
