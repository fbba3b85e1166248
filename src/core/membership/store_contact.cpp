#include "core/membership/store_contact.hpp"

namespace waxwinglb::core::membership {

bool store_contact::may_take_over(common::time_point now) const {
    return !failing_since_ && (!recovered_at_ || now >= *recovered_at_ + limits_.grace);
}

void store_contact::answered(common::time_point now) {
    if (failing_since_ && now - *failing_since_ >= limits_.shortest_outage)
        recovered_at_ = now;
    failing_since_.reset();
}

void store_contact::failed(common::time_point now) {
    if (!failing_since_)
        failing_since_ = now;
}

} // namespace waxwinglb::core::membership
