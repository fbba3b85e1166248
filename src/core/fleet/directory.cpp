#include "core/fleet/directory.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::fleet {

using common::store_position;
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

void directory::apply(const std::vector<target_change>& changes, store_position at, time_point now) {
    for (const target_change& change : changes)
        if (change.entry)
            upsert(*change.entry, now);
        else if (change.unusable)
            forget(change.id);
        else
            remove(change.id, at, now);
    read_at_ = std::max(read_at_, at);
}

void directory::forget(const std::string& id) {
    targets_.erase(id);
}

void directory::replace_all(const target_list& list, time_point now) {
    const bool restored = list.source == list_source::restored_store;
    if (restored) {
        in_store_outage_ = outage_reported_only_ = false;
        begin_lapse_grace(now);
    }
    if (list.at.era > read_at_.era) {
        departures_.begin_era(list.at);
        era_begun_at_ = list.at;
    }
    std::set<std::string> listed;
    for (const target_entry& entry : list.entries) {
        listed.insert(entry.id);
        const auto used = restored ? corrected(entry) : entry;
        if (used)
            upsert(*used, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : targets_)
        if (!listed.contains(id) && !known.lapsed_until)
            missing.push_back(id);
    for (const std::string& id : missing)
        remove(id, list.at, now);
    read_at_ = std::max(read_at_, list.at);
    loaded_ = true;
}

std::optional<target_entry> directory::corrected(const target_entry& entry) const {
    const target* known = find(entry.id);
    const bool departed = departures_.contains({entry.id, entry.born});
    if ((known != nullptr && known->entry.born > entry.born) ||
        (departed && (known == nullptr || known->entry.born != entry.born)))
        return std::nullopt;
    target_entry out = entry;
    out.draining = entry.draining || departed;
    return out;
}

bool directory::is_registered(const target_start& start) const {
    const target* known = find(start.id);
    return known != nullptr && known->entry.born == start.born;
}

void directory::upsert(const target_entry& entry, time_point now) {
    const target_start start{entry.id, entry.born};
    if (entry.draining)
        departures_.note({start, entry.changed}, now);
    else
        departures_.note_registered(start, entry.changed); // it may have lapsed for longer than the grace
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
    auto known_versions = std::move(known.entry.versions);
    known.entry = entry;
    known.departed = departures_.contains(start);
    if (described || (same_start && !entry.describes_models))
        known.entry.models = std::move(known_models);
    else
        known.coming.clear();
    if (same_start && !entry.describes_models)
        known.entry.versions = std::move(known_versions);
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

void directory::remove(const std::string& id, store_position at, time_point now) {
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    if (!in_outage(now) || found->second.leaving()) {
        departures_.note({{id, found->second.entry.born}, at}, now);
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

bool directory::note_departure(const departure& heard, time_point now) {
    const bool registered = is_registered(heard.start);
    if (!registered && heard.age > departure_retention)
        return false;
    departure noted = heard;
    if (registered) {
        target& known = targets_[heard.start.id];
        const store_position changed = known.entry.changed;
        if (heard.at.era < changed.era && changed <= era_begun_at_)
            noted.at = era_begun_at_; // the registration may be older than the restore
        else if (heard.at != store_position{} && heard.at < changed)
            return false; // it has been registered again since
        known.departed = true;
    }
    return departures_.note(noted, now);
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
    departures_.note({start, whole_start}, now);
    return true;
}

void directory::note_pause(const target_start& start, common::milliseconds length, time_point now) {
    const auto found = targets_.find(start.id);
    if (found != targets_.end() && found->second.entry.born == start.born)
        found->second.pause = target_pause{now, now + length};
}

void directory::note_weights(const target_start& start, const std::string& model, std::int64_t version) {
    if (is_registered(start))
        targets_[start.id].entry.versions.weights[model] = version;
}

void directory::merge_from_peer(const target_entry& entry, time_point now) {
    const target_start start{entry.id, entry.born};
    const bool stated = entry.changed != store_position{};
    const bool comparable = stated && entry.changed.era <= read_at_.era; // a restored store may list it again
    if (entry.draining || (departures_.contains(start) && !comparable) ||
        departures_.covers(start, entry.changed))
        return;
    const auto known = targets_.find(entry.id);
    if (known == targets_.end() && stated && entry.changed <= read_at_)
        return; // this process has read a later state without it
    if (known == targets_.end() || known->second.entry.born < entry.born)
        upsert(entry, now);
    else if (known->second.entry.born == entry.born)
        known->second.cold_until = std::max(known->second.cold_until, now + entry.cold_left);
}

void directory::adopt(const target_list& list, time_point now) {
    std::set<std::string> listed;
    for (const target_entry& entry : list.entries) {
        const target_start start{entry.id, entry.born};
        listed.insert(entry.id);
        if (departures_.covers(start, entry.changed))
            continue;
        if (!is_registered(start))
            upsert(entry, now);
        else if (entry.draining)
            note_departure({start, entry.changed}, now);
    }
    std::erase_if(targets_, [&](const auto& known) {
        const target_entry& entry = known.second.entry;
        if (listed.contains(known.first) || (list.at != store_position{} && entry.changed > list.at))
            return false;
        if (list.at != store_position{})
            departures_.note({{entry.id, entry.born}, list.at}, now);
        return true;
    });
    read_at_ = std::max(read_at_, list.at);
    loaded_ = loaded_ || !list.entries.empty();
}

std::vector<std::string> directory::expire(time_point now) {
    departures_.expire(now, [this](const target_start& start) { return is_registered(start); });
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
        departures_.note({{known->first, known->second.entry.born}, read_at_}, now);
        known = targets_.erase(known);
    }
    return dropped;
}

const target* directory::find(const std::string& id) const {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

} // namespace waxwinglb::core::fleet
