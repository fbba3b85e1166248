#include "core/exchange/exchange.hpp"

#include "core/common/hash.hpp"
#include "core/membership/announcements.hpp"

#include <algorithm>

namespace waxwinglb::core::exchange {
namespace {

using common::milliseconds;
using common::time_point;
using limits::contact_limit;

constexpr milliseconds unregistered_retention{10'000};
constexpr milliseconds peer_retention{60'000}; // of another group's; longer than a datagram may be late
// A gateway that has just started receives reports of its group within this time. If a whole fleet starts,
// each of its gateways would otherwise speak for its group until then.
constexpr milliseconds listening_period{400};
constexpr std::size_t probes_per_group = 2; // members of a silent group that are tried in one period

/// Coverage by which one of several reporters about the other groups is followed. A member that isn't a
/// speaker learns of them only for a while, when one of them tries whom it can reach.
int preference(int in_contact, bool is_speaker) {
    constexpr int speaker_weight = 1'000'000; // above the size of any fleet
    return is_speaker ? in_contact * speaker_weight : in_contact;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool within(time_point at, milliseconds limit, time_point now) {
    return now - at <= limit;
}

void add(std::map<std::string, int>& sums, const std::map<std::string, int>& running) {
    for (const auto& [target, count] : running)
        sums[target] += count;
}

} // namespace

exchange::exchange(local_gateway self, std::size_t single_group)
    : self_(std::move(self)), single_group_(single_group) {
    places_[self_.name] = self_.data_centre;
}

// ---- members ---------------------------------------------------------------------------------------

void exchange::change_members(gateway_places registered, limits::fleet_quota& quota, time_point now) {
    registered[self_.name] = self_.data_centre;
    for (const auto& [name, other] : peers_)
        if (within(other.at, unregistered_retention, now))
            registered[name] = other.last.data_centre;
    places_ = std::move(registered);
    grouped_ = should_group(now);
    rebuild(quota);
    update_quota(quota, now);
}

/// A gateway that doesn't know of all others yet follows those that do.
bool exchange::should_group(time_point now) const {
    std::size_t size = places_.size();
    for (const auto& [name, other] : peers_)
        if (within(other.at, contact_limit, now))
            size = std::max(size, static_cast<std::size_t>(std::max(0, other.last.fleet_size)));
    return size > single_group_ && !self_.data_centre.empty();
}

void exchange::rebuild(limits::fleet_quota& quota) {
    division_ = grouped_ ? divide_into_groups(places_) : std::map<std::string, std::string>{};
    group_ = grouped_ ? division_.at(self_.name) : "";
    direct_.clear();
    for (auto& [name, group] : groups_)
        group.members.clear();
    for (const auto& [name, data_centre] : places_) {
        const auto group = division_.find(name);
        if (name == self_.name)
            continue;
        if (group == division_.end() || group->second == group_)
            direct_.insert(name);
        else
            groups_[group->second].members.push_back(name);
    }
    std::erase_if(groups_, [](const auto& group) {
        return group.second.members.empty() && group.second.speakers.empty();
    });
    known_by_sums_ = count_known_by_sums();
    quota.change_members({direct_.begin(), direct_.end()});
}

void exchange::expire(limits::fleet_quota& quota, time_point now) {
    if (!started_at_)
        started_at_ = now;
    if (should_group(now) != grouped_) {
        grouped_ = !grouped_;
        rebuild(quota);
    }
    const auto is_old = [&](const auto& speaker) { return !within(speaker.second, contact_limit, now); };
    for (auto& [name, group] : groups_) {
        std::erase_if(group.speakers, is_old);
        std::erase_if(group.relayed_speakers, is_old);
    }
    std::erase_if(peers_, [&](const auto& known) {
        return !direct_.contains(known.first) && !within(known.second.at, peer_retention, now);
    });
    known_by_sums_ = count_known_by_sums();
    outside_[self_.name] = own_outside(now);
    outside_feed_.lower_coverage(self_.name, preference(outside_[self_.name].in_contact, speaks(now)));
    update_quota(quota, now);
}

// ---- taking reports --------------------------------------------------------------------------------

exchange::news exchange::take(const report& received, limits::fleet_quota& quota, time_point now) {
    if (received.process == self_.name || received.process.empty())
        return {};
    peer& known = peers_[received.process];
    if (known.last.boot == received.boot && received.sequence <= known.last.sequence)
        return {};
    known.last = received;
    known.at = now;
    known.is_member = received.own.has_value();
    known.receives_ours = contains(received.members_in_contact, self_.name);
    if (const auto [place, is_new] = places_.try_emplace(received.process);
        is_new || place->second != received.data_centre) {
        place->second = received.data_centre;
        grouped_ = should_group(now);
        rebuild(quota);
    }
    note_order_giver(received, now);
    if (received.own)
        take_member(received, quota, now);
    if (grouped_ && received.group_use && received.group != group_)
        take_group(received, quota, now);
    if (grouped_ && received.outside)
        take_outside(received, quota, now);
    update_quota(quota, now);
    return {true, grouped_ && received.outside.has_value()};
}

void exchange::take_member(const report& received, limits::fleet_quota& quota, time_point now) {
    quota.merge_report(received.process, received.boot, received.own->taken,
                       peers_.at(received.process).receives_ours, now);
    if (received.leaving)
        quota.mark_departed(received.process);
}

void exchange::take_group(const report& received, limits::fleet_quota& quota, time_point now) {
    other_group& group = groups_[received.group];
    if (received.leaving)
        group.speakers.erase(received.process);
    else
        group.speakers[received.process] = now;
    group.reports[received.process] = *received.group_use;
    const int coverage =
        received.group_use->groups_in_contact.contains(group_) ? received.group_use->in_contact : 0;
    for (const auto& [customer, tokens] :
         group.feed.take(received.process, received.boot, received.group_use->use.taken, coverage, now))
        outside_taken_[customer] += tokens;
    note_sighting(by_group, received.group_use->order_giver, now);
    quota.take_outside(outside_feed_.take(self_.name, self_.boot, outside_taken_,
                                          preference(outside_coverage(now), speaks(now)), now),
                       now);
}

void exchange::take_outside(const report& received, limits::fleet_quota& quota, time_point now) {
    const outside_report& outside = *received.outside;
    outside_[received.process] = outside;
    const int coverage = !peers_.at(received.process).receives_ours
                             ? 0
                             : preference(outside.in_contact, contains(own_speakers(now), received.process));
    quota.take_outside(outside_feed_.take(received.process, received.boot, outside.use.taken, coverage, now),
                       now);
    note_sighting(by_outside, outside.order_giver, now);
    for (const std::string& speaker : outside.speakers)
        if (const auto group = division_.find(speaker); group != division_.end() && group->second != group_)
            groups_[group->second].relayed_speakers[speaker] = now;
}

void exchange::note_order_giver(const report& received, time_point now) {
    auto& known = sightings_[direct];
    if (received.gives_orders)
        known = {{received.process, received.address, {}, true, received.reads_targets}, now};
    else if (known && known->seen.name == received.process && known->seen.active)
        known = {{received.process, received.address, {}, false, false}, now};
}

void exchange::note_sighting(hops distance, const std::optional<order_giver_sighting>& seen, time_point now) {
    auto& known = sightings_[distance];
    if (seen && seen->name != self_.name && (!known || now - seen->age > known->at))
        known = {*seen, now - seen->age};
}

// ---- what is known ---------------------------------------------------------------------------------

bool exchange::is_in_contact(const std::string& peer, time_point now) const {
    const auto known = peers_.find(peer);
    return known != peers_.end() && within(known->second.at, contact_limit, now);
}

bool exchange::in_mutual_contact(const peer& other, time_point now) const {
    return other.is_member && other.receives_ours && within(other.at, contact_limit, now);
}

std::vector<std::string> exchange::own_speakers(time_point now) const {
    std::vector<candidate> candidates;
    if (!leaving_ && started_at_ && now - *started_at_ >= listening_period)
        candidates.push_back({self_.name, self_.processor_share});
    for (const auto& [name, other] : peers_)
        if (in_mutual_contact(other, now) && !other.last.leaving && direct_.contains(name))
            candidates.push_back({name, other.last.processor_share});
    return choose_speakers(group_, std::move(candidates));
}

bool exchange::speaks(time_point now) const {
    if (!grouped_)
        return false;
    return contains(own_speakers(now), self_.name);
}

std::vector<std::string> exchange::coordinators(time_point now) const {
    if (grouped_) {
        const auto* outside = followed_outside(now);
        const auto speakers = outside == nullptr ? own_speakers(now) : outside->speakers;
        return speakers.empty() ? std::vector<std::string>{self_.name} : speakers;
    }
    std::vector<std::string> out{self_.name};
    for (const auto& [name, other] : peers_)
        if (in_mutual_contact(other, now) && !other.last.leaving)
            out.push_back(name);
    return out;
}

/// The newest sighting within the limit, of those that came over at most `max_hops` relays.
std::optional<order_giver_sighting> exchange::newest_sighting(std::size_t max_hops, time_point now) const {
    const sighting* newest = nullptr;
    for (std::size_t distance = direct; distance <= max_hops; ++distance) {
        const auto& known = sightings_[distance];
        // The end of an order giver's term outlives its last sightings, so that they don't count again.
        const bool short_lived = known && distance == direct && known->seen.active;
        const auto limit = short_lived ? contact_limit : sighting_limit;
        if (known && within(known->at, limit, now) && (newest == nullptr || known->at > newest->at))
            newest = &*known;
    }
    if (newest == nullptr)
        return std::nullopt;
    order_giver_sighting out = newest->seen;
    out.age = now - newest->at;
    return out;
}

std::optional<order_giver_sighting> exchange::order_giver(time_point now) const {
    auto seen = newest_sighting(by_outside, now);
    return seen && seen->active ? seen : std::nullopt;
}

std::map<std::string, std::string> exchange::order_givers(time_point now) const {
    std::map<std::string, std::string> out;
    for (const auto& known : sightings_)
        if (known && known->seen.active && within(known->at, order_giver_retention, now))
            out[known->seen.name] = known->seen.address;
    return out;
}

bool exchange::has_reader_in_contact(time_point now) const {
    const auto* outside = followed_outside(now);
    return (outside != nullptr && outside->reader) ||
           std::any_of(peers_.begin(), peers_.end(), [&](const auto& known) {
               const peer& other = known.second;
               return within(other.at, contact_limit, now) && other.last.reads_store &&
                      other.last.reads_targets;
           });
}

int exchange::in_contact(time_point now) const {
    const auto* outside = followed_outside(now);
    const auto direct_ones = std::count_if(peers_.begin(), peers_.end(), [&](const auto& known) {
        return known.second.is_member && within(known.second.at, contact_limit, now);
    });
    return static_cast<int>(direct_ones) + (outside == nullptr ? 0 : outside->in_contact);
}

std::map<std::string, int> exchange::outside_running(time_point now) const {
    const auto* outside = followed_outside(now);
    return outside == nullptr ? std::map<std::string, int>{} : outside->use.running;
}

std::set<std::string> exchange::groups_in_contact(time_point now) const {
    std::set<std::string> out;
    for (const auto& [name, group] : groups_)
        if (group.feed.fresh(now))
            out.insert(name);
    return out;
}

int exchange::outside_coverage(time_point now) const {
    int out = 0;
    for (const auto& [name, group] : groups_) {
        if (!group.feed.fresh(now))
            continue;
        const group_report& followed = group.reports.at(group.feed.followed());
        out += followed.groups_in_contact.contains(group_) ? followed.in_contact : 0;
    }
    return out;
}

/// The other groups as far as their speakers report to this gateway itself.
outside_report exchange::own_outside(time_point now) const {
    outside_report out;
    out.in_contact = outside_coverage(now);
    out.speakers = own_speakers(now);
    out.use.taken = outside_taken_;
    out.order_giver = newest_sighting(by_group, now);
    for (const auto& [name, group] : groups_) {
        for (const auto& [speaker, at] : group.speakers)
            if (within(at, contact_limit, now))
                out.speakers.push_back(speaker);
        if (!group.feed.fresh(now))
            continue;
        const group_report& followed = group.reports.at(group.feed.followed());
        out.departed += followed.departed;
        out.reader = out.reader || followed.reader;
        add(out.use.running, followed.use.running);
    }
    return out;
}

const outside_report* exchange::followed_outside(time_point now) const {
    if (!grouped_ || !outside_feed_.fresh(now))
        return nullptr;
    const auto found = outside_.find(outside_feed_.followed());
    return found == outside_.end() ? nullptr : &found->second;
}

/// Registered gateways whose use reaches this one only in sums.
int exchange::count_known_by_sums() const {
    int out = 0;
    for (const auto& [name, data_centre] : places_) {
        const auto known = peers_.find(name);
        const bool is_member = known != peers_.end() && known->second.is_member;
        out += name == self_.name || direct_.contains(name) || is_member ? 0 : 1;
    }
    return out;
}

void exchange::update_quota(limits::fleet_quota& quota, time_point now) const {
    const auto* outside = followed_outside(now);
    limits::outside_members members{known_by_sums_, 0, 0};
    if (outside != nullptr) {
        members.in_contact = outside->in_contact;
        members.departed = outside->departed;
    }
    quota.set_outside(members, now);
}

// ---- sending ---------------------------------------------------------------------------------------

milliseconds exchange::period(time_point now) const {
    const std::size_t outside = speaks(now) ? 2 * groups_.size() : 0;
    return membership::announcement_period(direct_.size() + 1 + outside);
}

std::vector<std::string> exchange::next_outside_receivers(time_point now) {
    std::vector<std::string> out;
    for (auto& [name, group] : groups_) {
        const auto before = out.size();
        for (const auto* speakers : {&group.speakers, &group.relayed_speakers})
            for (const auto& [speaker, at] : *speakers)
                if (within(at, contact_limit, now) &&
                    (speakers == &group.speakers || !group.speakers.contains(speaker)))
                    out.push_back(speaker);
        if (out.size() > before || group.members.empty())
            continue;
        for (std::size_t probe = 0; probe < std::min(probes_per_group, group.members.size()); ++probe)
            out.push_back(group.members[group.next_probe++ % group.members.size()]);
    }
    return out;
}

report exchange::base(const local_state& state) {
    leaving_ = state.leaving;
    report out;
    out.process = self_.name;
    out.address = self_.address;
    out.boot = self_.boot;
    out.sequence = ++sequence_;
    out.data_centre = self_.data_centre;
    out.group = group_;
    out.fleet_size = static_cast<int>(places_.size());
    out.processor_share = self_.processor_share;
    out.leaving = state.leaving;
    out.gives_orders = state.gives_orders;
    out.reads_store = state.reads_store;
    out.reads_targets = state.reads_targets;
    return out;
}

report exchange::member_report(const local_state& state, const limits::fleet_quota& quota, time_point now) {
    report out = base(state);
    out.own = usage{quota.taken(), state.running};
    for (const auto& [name, other] : peers_)
        if (other.is_member && within(other.at, contact_limit, now))
            out.members_in_contact.push_back(name);
    if (!groups_in_contact(now).empty())
        out.outside = own_outside(now);
    return out;
}

report exchange::group_report_of(const local_state& state, const limits::fleet_quota& quota, time_point now) {
    report out = base(state);
    if (speaks(now))
        out.group_use = own_group(state, quota, now);
    return out;
}

group_report exchange::own_group(const local_state& state, const limits::fleet_quota& quota,
                                 time_point now) const {
    group_report out;
    out.in_contact = 1;
    out.groups_in_contact = groups_in_contact(now);
    out.reader = state.reads_store && state.reads_targets;
    out.use = {quota.group_taken(), state.running};
    out.order_giver = newest_sighting(direct, now);
    for (const std::string& name : direct_) {
        const auto known = peers_.find(name);
        if (known == peers_.end())
            continue;
        const peer& other = known->second;
        if (other.last.leaving) {
            ++out.departed;
            continue;
        }
        if (!in_mutual_contact(other, now))
            continue;
        ++out.in_contact;
        out.reader = out.reader || (other.last.reads_store && other.last.reads_targets);
        add(out.use.running, other.last.own->running);
    }
    return out;
}

} // namespace waxwinglb::core::exchange
