#include "core/quarantine/suspect_parts.hpp"

#include <algorithm>

namespace waxwinglb::core::quarantine {
namespace {

constexpr int moments_to_suspect = 2;

common::milliseconds age_of(common::time_point at, common::time_point now) {
    return std::chrono::duration_cast<common::milliseconds>(std::max(now - at, common::duration::zero()));
}

common::time_point latest_of(const std::map<target_run, common::time_point>& crashes) {
    return std::max_element(crashes.begin(), crashes.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; })
        ->second;
}

} // namespace

// ---- verdicts --------------------------------------------------------------------------------------

std::optional<part_id> suspect_parts::find_blocked(std::span<const part_id> parts,
                                                   common::time_point now) const {
    const auto found =
        std::find_if(parts.begin(), parts.end(), [&](part_id part) { return is_blocked(part, now); });
    return found == parts.end() ? std::nullopt : std::optional{*found};
}

bool suspect_parts::suspected(std::span<const part_id> parts, common::time_point now) const {
    return std::any_of(parts.begin(), parts.end(), [&](part_id part) {
        const auto known = suspects_.find(part);
        return known != suspects_.end() && !known_sound(part, now) &&
               count_moments(known->second, {}) >= moments_to_suspect;
    });
}

std::optional<common::time_point> suspect_parts::latest_crash(part_id part) const {
    const auto known = suspects_.find(part);
    return known == suspects_.end() ? std::nullopt : std::optional{latest_of(known->second)};
}

bool suspect_parts::known_sound(part_id part, common::time_point now) const {
    const auto known = sound_.find(part);
    return known != sound_.end() && now - known->second < options_.sound_memory;
}

/// Crashes at different moments, without those of the `explained` targets.
int suspect_parts::count_moments(const crash_map& crashes, const std::set<target_run>& explained) const {
    std::vector<common::time_point> times;
    for (const auto& [target, at] : crashes)
        if (!explained.contains(target))
            times.push_back(at);
    std::sort(times.begin(), times.end());
    int count = 0;
    common::time_point last{};
    for (const auto at : times) {
        if (count > 0 && at - last <= options_.same_moment)
            continue;
        ++count;
        last = at;
    }
    return count;
}

/// Whether the evidence against a part suffices if nothing else explains it.
bool suspect_parts::qualifies(part_id part, const crash_map& crashes, common::time_point now) const {
    if (crashes.empty() || known_sound(part, now) || count_moments(crashes, {}) < options_.crashes)
        return false;
    const auto first = std::min_element(crashes.begin(), crashes.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    return now - first->second >= options_.settle;
}

bool suspect_parts::is_blocked(part_id part, common::time_point now) const {
    const auto known = suspects_.find(part);
    if (known == suspects_.end() || !qualifies(part, known->second, now))
        return false;
    const int own = count_moments(known->second, {});
    // Of two parts that were at the same crashes, one that has been answered before is not the cause.
    const bool answered = sound_.contains(part);
    std::set<target_run> explained;
    for (const auto& [other, crashes] : suspects_) {
        const int others = count_moments(crashes, {});
        const bool likelier = others > own || (others == own && answered && !sound_.contains(other));
        if (other != part && likelier && qualifies(other, crashes, now))
            for (const auto& [target, at] : crashes)
                explained.insert(target);
    }
    return count_moments(known->second, explained) >= options_.crashes;
}

// ---- evidence --------------------------------------------------------------------------------------

void suspect_parts::add_crash(std::span<const part_id> parts, target_run target, common::time_point now) {
    for (const part_id part : parts)
        add_evidence(part, target, now);
    shrink();
}

void suspect_parts::add_sound(std::span<const part_id> parts, common::time_point now) {
    for (const part_id part : parts)
        note_sound(part, now);
}

void suspect_parts::add_evidence(part_id part, target_run target, common::time_point at) {
    if (const auto sound = sound_.find(part); sound != sound_.end() && at <= sound->second)
        return;
    crash_map& crashes = suspects_[part];
    const auto [known, added] = crashes.emplace(target, at);
    known->second = std::min(known->second, at);
    if (crashes.size() <= options_.max_crashes)
        return;
    crashes.erase(std::min_element(crashes.begin(), crashes.end(),
                                   [](const auto& a, const auto& b) { return a.second < b.second; }));
}

void suspect_parts::note_sound(part_id part, common::time_point at) {
    auto& latest = sound_[part];
    if (at <= latest)
        return;
    sound_order_.erase({latest, part});
    latest = at;
    sound_order_.emplace(at, part);
    if (const auto known = suspects_.find(part); known != suspects_.end()) {
        std::erase_if(known->second, [&](const auto& crash) { return crash.second <= at; });
        if (known->second.empty())
            suspects_.erase(known);
    }
    if (sound_order_.size() > options_.max_sound) {
        sound_.erase(sound_order_.begin()->second);
        sound_order_.erase(sound_order_.begin());
    }
}

std::pair<int, common::time_point> suspect_parts::weight_of(const crash_map& crashes) const {
    return {count_moments(crashes, {}), latest_of(crashes)};
}

void suspect_parts::shrink() {
    while (suspects_.size() > options_.max_suspects)
        suspects_.erase(
            std::min_element(suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
                return weight_of(a.second) < weight_of(b.second);
            }));
}

// ---- exchange with other processes -----------------------------------------------------------------

void suspect_parts::merge(const part_report& report, common::time_point now) {
    // Ages lack the time on the way: without the margin two processes would renew each other's news for ever.
    const auto known = sound_.find(report.part);
    if (report.sound_age &&
        (known == sound_.end() || now - *report.sound_age > known->second + options_.report_delay))
        note_sound(report.part, now - *report.sound_age);
    for (const auto& [target, age] : report.crashes) {
        const auto sound = sound_.find(report.part);
        if (sound != sound_.end() && now - age <= sound->second)
            disputed_[report.part] = now;
        else if (age < options_.blocked_memory)
            add_evidence(report.part, target, now - age);
    }
    shrink();
}

/// Those whose evidence is new, and all that are blocked; of too many, those with the most evidence.
std::vector<const std::pair<const part_id, suspect_parts::crash_map>*>
suspect_parts::suspects_to_tell(common::time_point now) const {
    std::vector<const std::pair<const part_id, crash_map>*> out;
    for (const auto& known : suspects_)
        if (now - latest_of(known.second) <= options_.told_for || is_blocked(known.first, now))
            out.push_back(&known);
    if (out.size() <= options_.max_told)
        return out;
    std::sort(out.begin(), out.end(),
              [this](const auto* a, const auto* b) { return weight_of(a->second) > weight_of(b->second); });
    out.resize(options_.max_told);
    return out;
}

std::vector<part_report> suspect_parts::reports(common::time_point now) const {
    std::vector<part_report> out;
    const auto sound_age = [&](part_id part) -> std::optional<common::milliseconds> {
        if (!known_sound(part, now))
            return std::nullopt;
        return age_of(sound_.at(part), now);
    };
    for (const auto* known : suspects_to_tell(now)) {
        part_report report{known->first, {}, sound_age(known->first)};
        for (const auto& [target, at] : known->second)
            report.crashes.emplace_back(target, age_of(at, now));
        out.push_back(std::move(report));
    }
    for (const auto& [part, since] : disputed_)
        if (!suspects_.contains(part))
            out.push_back({part, {}, sound_age(part)});
    return out;
}

void suspect_parts::expire(common::time_point now) {
    std::erase_if(suspects_, [&](auto& known) {
        const bool blocked = is_blocked(known.first, now);
        const auto limit = blocked ? options_.blocked_memory : options_.evidence_memory;
        return std::all_of(known.second.begin(), known.second.end(),
                           [&](const auto& crash) { return now - crash.second >= limit; });
    });
    std::erase_if(disputed_,
                  [&](const auto& known) { return now - known.second >= options_.dispute_memory; });
}

} // namespace waxwinglb::core::quarantine
