#include "core/fleet/departures.hpp"

#include <algorithm>

namespace waxwinglb::core::fleet {

using common::store_position;
using common::time_point;

bool departures::note(const departure& heard, time_point now) {
    const auto [position, is_new] = known_.try_emplace(heard.start, record{heard.at, now - heard.age});
    record& known = position->second;
    if (known.at < heard.at)
        known = {heard.at, std::max(known.read_at, now - heard.age)};
    return is_new;
}

void departures::note_registered(const target_start& start, store_position changed) {
    const auto found = known_.find(start);
    if (found != known_.end() && !covers(start, changed))
        known_.erase(found);
}

void departures::begin_era(store_position at) {
    for (auto& [start, known] : known_)
        if (known.at.era < at.era)
            known.at = at;
}

bool departures::covers(const target_start& start, store_position changed) const {
    const auto found = known_.find(start);
    if (found == known_.end())
        return false;
    return found->second.at == whole_start || (changed != store_position{} && changed <= found->second.at);
}

std::vector<departure> departures::all(time_point now) const {
    std::vector<departure> out;
    out.reserve(known_.size());
    for (const auto& [start, known] : known_)
        out.push_back({start, known.at, now - known.read_at});
    return out;
}

} // namespace waxwinglb::core::fleet
