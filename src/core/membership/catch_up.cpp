#include "core/membership/catch_up.hpp"

#include <algorithm>

namespace waxwinglb::core::membership {

void catch_up::registrations_read(std::span<const std::int64_t> registered_in, std::int64_t era,
                                  common::time_point now) {
    if (until_)
        return;
    const bool restored_since = std::any_of(registered_in.begin(), registered_in.end(),
                                            [&](std::int64_t registered) { return registered < era; });
    until_ = restored_since ? now + limit : now;
}

void catch_up::configuration_read(common::time_point now) {
    if (!config_until_)
        config_until_ = now + limit;
}

bool catch_up::done(common::time_point now) const {
    return informed_ || (until_ && now >= *until_) || (config_until_ && now >= *config_until_);
}

} // namespace waxwinglb::core::membership
