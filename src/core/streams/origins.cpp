#include "core/streams/origins.hpp"

namespace waxwinglb::core::streams {

using common::time_point;

void origins::note(attempt_key attempt, const std::string& version, origin_source source, time_point now) {
    if (!versions_.try_emplace(attempt, version).second)
        return;
    entries_.push_back({attempt, source, now});
    if (entries_.size() > max_origins) {
        versions_.erase(entries_.front().attempt);
        entries_.pop_front();
    }
}

std::optional<std::string> origins::version_of(attempt_key attempt) const {
    const auto found = versions_.find(attempt);
    return found == versions_.end() ? std::nullopt : std::optional{found->second};
}

void origins::note_target(const std::string& service, const std::string& version, time_point now) {
    targets_[{service, version}] = now;
}

std::set<std::string> origins::versions_of(const std::string& service, time_point now) const {
    std::set<std::string> out;
    for (const auto& [key, seen_at] : targets_)
        if (key.first == service && now - seen_at <= origin_retention)
            out.insert(key.second);
    return out;
}

attempts_by_version origins::newest(std::size_t most, time_point since, bool own_only) const {
    attempts_by_version out;
    for (auto each = entries_.rbegin(); each != entries_.rend() && most > 0 && each->at >= since; ++each) {
        if (own_only && each->source != origin_source::own)
            continue;
        out[versions_.at(each->attempt)].push_back(each->attempt);
        --most;
    }
    return out;
}

attempts_by_version origins::own_since(time_point since, std::size_t most) const {
    return newest(most, since, true);
}

attempts_by_version origins::all(std::size_t most) const {
    return newest(most, time_point::min(), false);
}

void origins::expire(time_point now) {
    while (!entries_.empty() && now - entries_.front().at > origin_retention) {
        versions_.erase(entries_.front().attempt);
        entries_.pop_front();
    }
    std::erase_if(targets_, [&](const auto& seen) { return now - seen.second > origin_retention; });
}

} // namespace waxwinglb::core::streams
