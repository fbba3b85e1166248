#include "core/fleet/directory.hpp"

#include <algorithm>

namespace waxwinglb::core::fleet {

using common::time_point;

bool directory::in_outage(time_point now) const {
    return store_away_ || (returned_at_ && now < *returned_at_ + grace());
}

void directory::store_failed() {
    if (!store_away_)
        away_since_ = answered_at_;
    store_away_ = true;
    only_doubted_ = false;
}

void directory::note_order_giver_store_access(bool reads, time_point now) {
    const bool news = !reads && !order_giver_lacks_;
    order_giver_lacks_ = !reads;
    if (!news || store_away_)
        return;
    away_since_ = now - doubt_delay;
    store_away_ = true;
    only_doubted_ = true;
}

common::milliseconds directory::grace() const {
    return only_doubted_ ? doubted_lapse_grace : lapse_grace;
}

void directory::store_answered(time_point now) {
    const auto silent = away_since_ ? now - *away_since_ : common::duration::max();
    answered_at_ = now;
    if (!store_away_)
        return;
    store_away_ = false;
    if (silent < shortest_lapsing_outage)
        return;
    returned_at_ = now;
    for (auto& [id, one] : targets_)
        if (one.lapsed_until)
            one.lapsed_until = now + grace();
}

void directory::apply(const std::vector<target_change>& changes, time_point now) {
    for (const target_change& change : changes)
        if (change.entry)
            upsert(*change.entry, now);
        else
            remove(change.id, now);
}

void directory::replace_all(const std::vector<target_entry>& entries, time_point now) {
    std::set<std::string> listed;
    for (const target_entry& entry : entries) {
        listed.insert(entry.id);
        upsert(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, one] : targets_)
        if (!listed.contains(id) && !one.lapsed_until)
            missing.push_back(id);
    for (const std::string& id : missing)
        remove(id, now);
    loaded_ = true;
}

void directory::upsert(const target_entry& entry, time_point now) {
    if (!entry.draining)
        left_.erase({entry.id, entry.born}); // it had lapsed for longer than expected
    target& one = targets_[entry.id];
    const bool same_start = one.entry.born == entry.born && !one.entry.id.empty();
    if (!same_start)
        one = {};
    one.lapsed_until.reset();
    const bool described =
        same_start && one.described_at != time_point{} && now - one.described_at < description_term;
    auto known_models = std::move(one.entry.models);
    one.entry = entry;
    one.leaving_by_peer = false; // the registration itself says more
    if (described || (same_start && !entry.describes_models))
        one.entry.models = std::move(known_models);
    else
        one.coming.clear();
    if (entry.cold_left.count() > 0)
        one.cold_until = now + entry.cold_left;
    if (entry.remaining && !one.gone_at)
        one.gone_at = now + *entry.remaining;
}

void directory::remove(const std::string& id, time_point now) {
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    if (!in_outage(now) || found->second.entry.draining) {
        left_[{id, found->second.entry.born}] = now;
        targets_.erase(found);
        return;
    }
    if (!found->second.lapsed_until)
        found->second.lapsed_until = (returned_at_ && !store_away_ ? *returned_at_ : now) + grace();
}

void directory::describe(const std::string& id, std::int64_t born, std::int64_t orders,
                         const std::map<std::string, std::vector<std::string>>& models,
                         const std::map<std::string, time_point>& coming, time_point now) {
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second.entry.born != born || orders < found->second.orders)
        return;
    target& one = found->second;
    one.entry.models = models;
    one.coming = coming;
    one.orders = orders;
    one.described_at = now;
}

void directory::mark_leaving(const std::string& id, std::int64_t born) {
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second.entry.born != born)
        return;
    found->second.leaving_by_peer = true;
}

void directory::merge_from_peer(const target_entry& entry, time_point now) {
    if (entry.draining || left_.contains({entry.id, entry.born}))
        return;
    const auto known = targets_.find(entry.id);
    if (known == targets_.end() || known->second.entry.born < entry.born)
        upsert(entry, now);
    else if (known->second.entry.born == entry.born)
        known->second.cold_until = std::max(known->second.cold_until, now + entry.cold_left);
}

void directory::adopt(const std::vector<target_entry>& entries, time_point now) {
    std::set<std::string> listed;
    for (const target_entry& entry : entries) {
        listed.insert(entry.id);
        const auto known = targets_.find(entry.id);
        if (known == targets_.end() || known->second.entry.born != entry.born)
            upsert(entry, now);
        target& one = targets_[entry.id];
        one.leaving_by_peer = one.leaving_by_peer || entry.draining;
        one.entry.draining = one.entry.draining && known != targets_.end();
    }
    std::erase_if(targets_, [&](const auto& one) { return !listed.contains(one.first); });
    loaded_ = loaded_ || !entries.empty();
}

std::vector<directory::leaving> directory::leaving_targets() const {
    std::vector<leaving> out;
    for (const auto& [start, at] : left_)
        out.push_back({start.first, start.second});
    for (const auto& [id, one] : targets_)
        if (one.entry.draining && !left_.contains({id, one.entry.born}))
            out.push_back({id, one.entry.born});
    return out;
}

std::vector<std::string> directory::expire(time_point now) {
    std::erase_if(left_, [&](const auto& one) { return now - one.second > left_memory; });
    std::vector<std::string> dropped;
    for (auto one = targets_.begin(); one != targets_.end();) {
        const auto& lapsed = one->second.lapsed_until;
        if (!lapsed || store_away_ || now < *lapsed) {
            ++one;
            continue;
        }
        dropped.push_back(one->first);
        left_[{one->first, one->second.entry.born}] = now;
        one = targets_.erase(one);
    }
    return dropped;
}

const target* directory::find(const std::string& id) const {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

} // namespace waxwinglb::core::fleet
