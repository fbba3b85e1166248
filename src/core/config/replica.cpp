#include "core/config/replica.hpp"

#include "core/config/codec.hpp"

#include <algorithm>

namespace waxwinglb::core::config {

apply_result replica::apply(std::int64_t from, std::int64_t to, const std::vector<change>& changes) {
    if (to <= state_.revision)
        return apply_result::old;
    if (from != 0 && from > state_.revision)
        return apply_result::gap;
    snapshot next = from == 0 ? snapshot{} : state_;
    for (const change& one : changes) {
        // A range may start before this copy's revision; what it has already is passed over.
        if (from != 0 && one.revision <= state_.revision)
            continue;
        if (!apply_entry(next, one.key, one.value))
            return apply_result::malformed;
    }
    next.revision = to;
    state_ = std::move(next);
    return apply_result::applied;
}

void replica::confirm(std::int64_t revision, common::duration fresh_for, common::time_point now) {
    if (revision > state_.revision)
        return;
    fresh_until_ = std::max(fresh_until_, now + fresh_for);
}

} // namespace waxwinglb::core::config
