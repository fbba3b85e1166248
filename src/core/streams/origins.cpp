#include "core/streams/origins.hpp"

namespace waxwinglb::core::streams {

using common::time_point;
using fleet::serving_version;

void origins::note(attempt_key attempt, const serving_version& version, origin_source source,
                   time_point now) {
    const auto [known, is_new] = known_.try_emplace(attempt, origin{version, 0});
    serving_version& current = known->second.version;
    const bool changed = !is_new && version.software == current.software && version.weights > current.weights;
    if (!is_new && !changed)
        return;
    if (changed)
        current = fleet::completed(version, current);
    known->second.number = ++last_number_;
    entries_.push_back({attempt, source, last_number_, now});
    if (entries_.size() > max_origins)
        drop_oldest();
}

std::optional<serving_version> origins::version_of(attempt_key attempt) const {
    const auto found = known_.find(attempt);
    return found == known_.end() ? std::nullopt : std::optional{found->second.version};
}

const origins::origin* origins::find_current(const entry& of) const {
    const auto found = known_.find(of.attempt);
    return found != known_.end() && found->second.number == of.number ? &found->second : nullptr;
}

attempts_by_version origins::newest(std::size_t most, time_point since, bool own_only) const {
    attempts_by_version out;
    for (auto each = entries_.rbegin(); each != entries_.rend() && most > 0 && each->at >= since; ++each) {
        const origin* current = find_current(*each);
        if (current == nullptr || (own_only && each->source != origin_source::own))
            continue;
        out[current->version].push_back(each->attempt);
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

void origins::drop_oldest() {
    if (find_current(entries_.front()) != nullptr)
        known_.erase(entries_.front().attempt);
    entries_.pop_front();
}

void origins::expire(time_point now) {
    while (!entries_.empty() && now - entries_.front().at > origin_retention)
        drop_oldest();
}

} // namespace waxwinglb::core::streams
