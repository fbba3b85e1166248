#include "core/fleet/directory.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::fleet {

using common::time_point;

bool directory::in_outage(time_point now) const {
    return in_store_outage_ || (outage_ended_at_ && now < *outage_ended_at_ + grace());
}

void directory::store_failed() {
    if (!in_store_outage_)
        outage_since_ = answered_at_;
    in_store_outage_ = true;
    outage_reported_only_ = false;
}

void directory::note_order_giver_store_access(bool reads, time_point now) {
    const bool first_report = !reads && !order_giver_without_store_;
    order_giver_without_store_ = !reads;
    if (!first_report || in_store_outage_)
        return;
    outage_since_ = now - outage_report_delay;
    in_store_outage_ = true;
    outage_reported_only_ = true;
}

common::milliseconds directory::grace() const {
    return outage_reported_only_ ? reported_lapse_grace : lapse_grace;
}

void directory::store_answered(time_point now) {
    const auto unanswered_for = outage_since_ ? now - *outage_since_ : common::duration::max();
    answered_at_ = now;
    if (!in_store_outage_)
        return;
    in_store_outage_ = false;
    if (unanswered_for >= shortest_lapsing_outage)
        begin_lapse_grace(now);
}

void directory::begin_lapse_grace(time_point now) {
    outage_ended_at_ = now;
    for (auto& [id, known] : targets_)
        if (known.lapsed_until)
            known.lapsed_until = now + grace();
}

void directory::apply(const std::vector<target_change>& changes, time_point now) {
    for (const target_change& change : changes)
        if (change.entry)
            upsert(*change.entry, now);
        else if (change.unusable)
            forget(change.id);
        else
            remove(change.id, now);
}

void directory::forget(const std::string& id) {
    targets_.erase(id);
}

void directory::replace_all(const std::vector<target_entry>& entries, time_point now, list_source source) {
    if (source == list_source::restored_store) {
        in_store_outage_ = outage_reported_only_ = false;
        begin_lapse_grace(now);
    }
    std::set<std::string> listed;
    for (const target_entry& entry : entries) {
        listed.insert(entry.id);
        const auto used = source == list_source::store ? entry : corrected(entry);
        if (used)
            upsert(*used, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : targets_)
        if (!listed.contains(id) && !known.lapsed_until)
            missing.push_back(id);
    for (const std::string& id : missing)
        remove(id, now);
    loaded_ = true;
}

std::optional<target_entry> directory::corrected(const target_entry& entry) const {
    const target* known = find(entry.id);
    if (left_.contains({entry.id, entry.born}) || (known != nullptr && known->entry.born > entry.born))
        return std::nullopt;
    target_entry out = entry;
    if (known != nullptr && known->entry.born == entry.born)
        out.draining = entry.draining || known->entry.draining || known->leaving_by_peer;
    return out;
}

void directory::upsert(const target_entry& entry, time_point now) {
    const target_start start{entry.id, entry.born};
    if (!entry.draining)
        left_.erase(start); // its registration had lapsed for longer than the grace
    target& known = targets_[entry.id];
    const bool same_start = known.entry.born == entry.born && !known.entry.id.empty();
    if (!same_start)
        known = {};
    if (const auto said = said_leaving_.find(start); said != said_leaving_.end())
        known.said_leaving_at = said->second;
    known.lapsed_until.reset();
    const bool described =
        same_start && known.described_at != time_point{} && now - known.described_at < description_term;
    auto known_models = std::move(known.entry.models);
    known.entry = entry;
    known.leaving_by_peer = false; // the new registration supersedes the peer
    if (described || (same_start && !entry.describes_models))
        known.entry.models = std::move(known_models);
    else
        known.coming.clear();
    if (entry.cold_left.count() > 0)
        known.cold_until = now + entry.cold_left;
    if (entry.remaining)
        set_gone_at(known, now + *entry.remaining);
}

/// A registration may be read late or written again unchanged, so the earliest time stands.
void directory::set_gone_at(target& known, time_point at) {
    removals_noted_ += known.gone_at ? 0 : 1;
    known.gone_at = std::min(known.gone_at.value_or(time_point::max()), at);
}

void directory::remove(const std::string& id, time_point now) {
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    if (!in_outage(now) || found->second.entry.draining || found->second.said_leaving_at) {
        left_[{id, found->second.entry.born}] = now;
        targets_.erase(found);
        return;
    }
    if (!found->second.lapsed_until)
        found->second.lapsed_until =
            (outage_ended_at_ && !in_store_outage_ ? *outage_ended_at_ : now) + grace();
}

void directory::describe(const std::string& id, std::int64_t born, std::int64_t orders,
                         const std::map<std::string, std::vector<std::string>>& models,
                         const std::map<std::string, time_point>& coming, time_point now) {
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second.entry.born != born || orders < found->second.orders)
        return;
    target& known = found->second;
    known.entry.models = models;
    known.coming = coming;
    known.orders = orders;
    known.described_at = now;
}

bool directory::mark_leaving(const target_start& start) {
    const auto found = targets_.find(start.id);
    if (found == targets_.end() || found->second.entry.born != start.born)
        return false;
    return !std::exchange(found->second.leaving_by_peer, true);
}

bool directory::note_removal(const target_start& start, common::milliseconds remaining, time_point now) {
    const auto found = targets_.find(start.id);
    if (found == targets_.end() || found->second.entry.born != start.born)
        return false;
    const bool is_new = !found->second.gone_at;
    set_gone_at(found->second, now + remaining);
    return is_new;
}

bool directory::note_said_leaving(const target_start& start, time_point now) {
    const auto found = targets_.find(start.id);
    if (found == targets_.end() || found->second.entry.born != start.born || found->second.said_leaving_at)
        return false;
    found->second.said_leaving_at = now;
    said_leaving_[start] = now;
    return true;
}

void directory::note_pause(const target_start& start, common::milliseconds length, time_point now) {
    const auto found = targets_.find(start.id);
    if (found != targets_.end() && found->second.entry.born == start.born)
        found->second.pause = target_pause{now, now + length};
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
        target& adopted = targets_[entry.id];
        adopted.leaving_by_peer = adopted.leaving_by_peer || entry.draining;
        adopted.entry.draining = adopted.entry.draining && known != targets_.end();
    }
    std::erase_if(targets_, [&](const auto& entry) { return !listed.contains(entry.first); });
    loaded_ = loaded_ || !entries.empty();
}

std::vector<target_start> directory::leaving_targets() const {
    std::vector<target_start> result;
    for (const auto& [start, at] : left_)
        result.push_back(start);
    for (const auto& [id, known] : targets_)
        if ((known.entry.draining || known.said_leaving_at) && !left_.contains({id, known.entry.born}))
            result.push_back({id, known.entry.born});
    return result;
}

std::vector<std::string> directory::expire(time_point now) {
    std::erase_if(left_, [&](const auto& entry) { return now - entry.second > left_retention; });
    std::erase_if(said_leaving_,
                  [&](const auto& entry) { return now - entry.second > said_leaving_retention; });
    std::vector<std::string> dropped;
    for (auto known = targets_.begin(); known != targets_.end();) {
        const auto& lapsed_until = known->second.lapsed_until;
        if (!lapsed_until || in_store_outage_ || now < *lapsed_until) {
            ++known;
            continue;
        }
        dropped.push_back(known->first);
        left_[{known->first, known->second.entry.born}] = now;
        known = targets_.erase(known);
    }
    return dropped;
}

const target* directory::find(const std::string& id) const {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

} // namespace waxwinglb::core::fleet
