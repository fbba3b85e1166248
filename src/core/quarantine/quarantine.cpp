#include "core/quarantine/quarantine.hpp"

#include <algorithm>

namespace waxwinglb::core::quarantine {

verdict record::judge(const std::string& fingerprint, common::time_point now) const {
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.until <= now)
        return verdict::free;
    return found->second.condemned ? verdict::condemned : verdict::alone;
}

common::milliseconds record::remaining(const std::string& fingerprint, common::time_point now) const {
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.until <= now)
        return common::milliseconds{0};
    return std::chrono::ceil<common::milliseconds>(found->second.until - now);
}

void record::crashed(const std::vector<std::string>& in_flight, bool alone, common::time_point now) {
    expire(now);
    for (const std::string& fingerprint : in_flight) {
        if (fingerprint.empty())
            continue;
        entry& known = entries_[fingerprint];
        known.fingerprint = fingerprint;
        ++known.crashes;
        known.condemned = known.condemned || (alone && in_flight.size() == 1);
        known.until =
            std::max(known.until, now + (known.condemned ? options_.condemned_term : options_.suspect_term));
    }
    shrink();
}

void record::succeeded_alone(const std::string& fingerprint) {
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && !found->second.condemned)
        entries_.erase(found);
}

void record::merge(const entry& remote, common::time_point now) {
    if (remote.fingerprint.empty() || remote.until <= now)
        return;
    entry& known = entries_[remote.fingerprint];
    if (known.until <= now)
        known = {};
    known.fingerprint = remote.fingerprint;
    known.crashes = std::max(known.crashes, remote.crashes);
    known.until = known.condemned == remote.condemned ? std::max(known.until, remote.until)
                  : remote.condemned                  ? remote.until
                                                      : known.until;
    known.condemned = known.condemned || remote.condemned;
    shrink();
}

void record::expire(common::time_point now) {
    std::erase_if(entries_, [&](const auto& known) { return known.second.until <= now; });
}

std::vector<entry> record::entries() const {
    std::vector<entry> out;
    for (const auto& [fingerprint, known] : entries_)
        out.push_back(known);
    return out;
}

/// Drops entries above the limit: suspects before condemned ones, and those that end sooner first.
void record::shrink() {
    while (entries_.size() > options_.max_entries) {
        const auto least =
            std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
                return std::pair{a.second.condemned, a.second.until} <
                       std::pair{b.second.condemned, b.second.until};
            });
        entries_.erase(least);
    }
}

} // namespace waxwinglb::core::quarantine
