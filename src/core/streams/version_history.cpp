#include "core/streams/version_history.hpp"

#include <utility>

namespace waxwinglb::core::streams {

using common::time_point;

std::optional<fleet::serving_version> stated_versions::only() const {
    if (several() || software.empty())
        return std::nullopt;
    fleet::serving_version out;
    out.software = *software.begin();
    if (!weights.empty())
        out.weights = *weights.begin();
    if (!adapters.empty())
        out.adapter = *adapters.begin();
    return out;
}

bool version_history::statement::is_of(const fleet::target_entry& target) const {
    return service == target.service && software == target.software_version && held == target.versions;
}

void version_history::retire(statement&& past, time_point now) {
    past.until = now;
    past_.push_back(std::move(past));
    if (past_.size() > max_past_statements)
        past_.pop_front();
}

void version_history::update(const std::map<std::string, fleet::target>& targets, time_point now) {
    while (!past_.empty() && now - past_.front().until > version_retention)
        past_.pop_front();
    auto known = current_.begin();
    for (const auto& [id, target] : targets) {
        while (known != current_.end() && known->first < id) {
            retire(std::move(known->second), now);
            known = current_.erase(known);
        }
        const fleet::target_entry& entry = target.entry;
        const bool is_known = known != current_.end() && known->first == id;
        if (!is_known || !known->second.is_of(entry)) {
            statement now_stated{entry.service, entry.software_version, entry.versions, {}};
            if (is_known)
                retire(std::exchange(known->second, std::move(now_stated)), now);
            else
                known = current_.emplace_hint(known, id, std::move(now_stated));
        }
        ++known;
    }
    while (known != current_.end()) {
        retire(std::move(known->second), now);
        known = current_.erase(known);
    }
}

void version_history::add(stated_versions& to, const statement& from, const fleet::model_ref& ref) {
    to.software.insert(from.software);
    if (const auto weights = from.held.weights.find(ref.model); weights != from.held.weights.end())
        to.weights.insert(weights->second);
    if (const auto adapter = from.held.adapters.find(ref); adapter != from.held.adapters.end())
        to.adapters.insert(adapter->second);
}

stated_versions version_history::versions_of(const std::string& service, const fleet::model_ref& ref) const {
    stated_versions out;
    for (const auto& [id, statement] : current_)
        if (statement.service == service)
            add(out, statement, ref);
    for (const statement& past : past_)
        if (past.service == service)
            add(out, past, ref);
    return out;
}

} // namespace waxwinglb::core::streams
