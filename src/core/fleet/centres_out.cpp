#include "core/fleet/centres_out.hpp"

#include <algorithm>

namespace waxwinglb::core::fleet {

using common::store_position;
using common::time_point;

bool centres_out::apply_list(const std::set<std::string>& listed, store_position at, time_point now) {
    if (at < known_at_)
        return false;
    if (at.era > known_at_.era && known_at_ != store_position{})
        for (const std::string& centre : listed_)
            if (!listed.contains(centre))
                held_.try_emplace(centre, now + hold_limit);
    for (const std::string& centre : listed) {
        held_.erase(centre);
        settled_in_[centre] = at.era;
    }
    listed_ = listed;
    known_at_ = at;
    return update();
}

bool centres_out::apply_changes(const std::vector<centre_change>& changes, store_position at) {
    if (at < known_at_)
        return false;
    for (const centre_change& change : changes) {
        held_.erase(change.centre);
        settled_in_[change.centre] = at.era;
        if (change.removed)
            listed_.erase(change.centre);
        else
            listed_.insert(change.centre);
    }
    known_at_ = at;
    return update();
}

bool centres_out::merge_from_peer(const std::set<std::string>& listed, store_position at, time_point now) {
    return at > known_at_ && apply_list(listed, at, now);
}

bool centres_out::hold(const std::string& centre, common::duration left, time_point now) {
    const auto settled = settled_in_.find(centre);
    const bool is_settled = settled != settled_in_.end() && settled->second == known_at_.era;
    if (is_settled || listed_.contains(centre) || left <= common::duration::zero())
        return false;
    held_.try_emplace(centre, now + std::min<common::duration>(left, hold_limit));
    return update();
}

bool centres_out::expire(time_point now) {
    for (auto hold = held_.begin(); hold != held_.end();) {
        if (now < hold->second) {
            ++hold;
            continue;
        }
        settled_in_[hold->first] = known_at_.era; // a peer's hold may end a little later
        hold = held_.erase(hold);
    }
    return update();
}

bool centres_out::update() {
    std::set<std::string> out = listed_;
    for (const auto& [centre, until] : held_)
        out.insert(centre);
    if (out == out_)
        return false;
    out_ = std::move(out);
    return true;
}

} // namespace waxwinglb::core::fleet
