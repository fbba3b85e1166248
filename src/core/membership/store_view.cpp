#include "core/membership/store_view.hpp"

#include <algorithm>

namespace waxwinglb::core::membership {

using common::duration;
using common::milliseconds;
using common::time_point;

const char* name_of(stored_kind kind) {
    switch (kind) {
    case stored_kind::departures:
        return "departures";
    case stored_kind::configuration:
        return "configuration";
    case stored_kind::data_centres:
        return "data_centres";
    case stored_kind::count:
        break;
    }
    return "unknown";
}

void store_view::confirm(stored_kind kind, time_point until) {
    auto& known = entries_[static_cast<std::size_t>(kind)].known_until;
    known = std::max(known.value_or(until), until);
}

std::optional<duration> store_view::age(stored_kind kind, time_point now) const {
    const auto& known = entries_[static_cast<std::size_t>(kind)].known_until;
    return known ? std::optional{now - *known} : std::nullopt;
}

bool store_view::take_read_due(stored_kind kind, milliseconds limit, time_point now) {
    const auto known_for = age(kind, now);
    entry& of = entries_[static_cast<std::size_t>(kind)];
    if (!known_for || *known_for < limit * own_read_share || now - of.read_at < own_read_interval)
        return false;
    of.read_at = now;
    return true;
}

} // namespace waxwinglb::core::membership
