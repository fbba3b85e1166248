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
        entry& one = entries_[fingerprint];
        one.fingerprint = fingerprint;
        ++one.crashes;
        one.condemned = one.condemned || (alone && in_flight.size() == 1);
        one.until =
            std::max(one.until, now + (one.condemned ? options_.condemned_term : options_.suspect_term));
    }
    shrink();
}

void record::succeeded_alone(const std::string& fingerprint) {
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && !found->second.condemned)
        entries_.erase(found);
}

void record::merge(const entry& heard, common::time_point now) {
    if (heard.fingerprint.empty() || heard.until <= now)
        return;
    entry& one = entries_[heard.fingerprint];
    if (one.until <= now)
        one = {};
    one.fingerprint = heard.fingerprint;
    one.crashes = std::max(one.crashes, heard.crashes);
    one.until = one.condemned == heard.condemned ? std::max(one.until, heard.until)
                : heard.condemned                ? heard.until
                                                 : one.until;
    one.condemned = one.condemned || heard.condemned;
    shrink();
}

void record::expire(common::time_point now) {
    std::erase_if(entries_, [&](const auto& one) { return one.second.until <= now; });
}

std::vector<entry> record::entries() const {
    std::vector<entry> out;
    for (const auto& [fingerprint, one] : entries_)
        out.push_back(one);
    return out;
}

/// Drops the entry that matters least: a suspect before a condemned one, the sooner ending first.
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
