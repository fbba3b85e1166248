#include "core/streams/version_history.hpp"

#include <algorithm>
#include <limits>
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

void dated_versions::expire(time_point now) {
    const auto is_old = [now](const auto& version) { return now - version.second > version_retention; };
    std::erase_if(software, is_old);
    std::erase_if(weights, is_old);
    std::erase_if(adapters, is_old);
}

void version_history::date(dated_versions& to, const statement& stated, time_point until) {
    to.software[stated.software] = until;
    for (const auto& [model, weights] : stated.held.weights)
        to.weights[{model, weights}] = until;
    for (const auto& [adapter, version] : stated.held.adapters)
        to.adapters[{adapter, version}] = until;
}

void version_history::retire(const statement& past, time_point now) {
    date(past_[past.service], past, now);
}

void version_history::merge(const std::string& service, const dated_versions& known) {
    const auto merge_latest = [](auto& to, const auto& from) {
        for (const auto& [version, until] : from) {
            time_point& latest = to.try_emplace(version, until).first->second;
            latest = std::max(latest, until);
        }
    };
    dated_versions& versions = past_[service];
    merge_latest(versions.software, known.software);
    merge_latest(versions.weights, known.weights);
    merge_latest(versions.adapters, known.adapters);
}

std::map<std::string, dated_versions> version_history::all(time_point now) const {
    std::map<std::string, dated_versions> out = past_;
    for (const auto& [id, statement] : current_)
        date(out[statement.service], statement, now);
    return out;
}

void version_history::begin(time_point at) {
    begun_ = at;
    is_whole_ = false;
}

void version_history::note(const fleet::target_entry& target, time_point now) {
    retire({target.service, target.software_version, target.versions}, now);
}

bool version_history::is_complete(time_point now) const {
    return is_whole_ || (begun_ && *begun_ <= now - version_retention);
}

void version_history::update(const std::map<std::string, fleet::target>& targets, time_point now) {
    for (auto& [service, versions] : past_)
        versions.expire(now);
    std::erase_if(past_, [](const auto& each) { return each.second.software.empty(); });
    auto known = current_.begin();
    for (const auto& [id, target] : targets) {
        while (known != current_.end() && known->first < id) {
            retire(known->second, now);
            known = current_.erase(known);
        }
        const fleet::target_entry& entry = target.entry;
        const bool is_known = known != current_.end() && known->first == id;
        if (!is_known || !known->second.is_of(entry)) {
            statement now_stated{entry.service, entry.software_version, entry.versions};
            if (is_known)
                retire(std::exchange(known->second, std::move(now_stated)), now);
            else
                known = current_.emplace_hint(known, id, std::move(now_stated));
        }
        ++known;
    }
    while (known != current_.end()) {
        retire(known->second, now);
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

void version_history::add(stated_versions& to, const dated_versions& from, const fleet::model_ref& ref) {
    for (const auto& [software, until] : from.software)
        to.software.insert(software);
    auto weights = from.weights.lower_bound({ref.model, std::numeric_limits<std::int64_t>::min()});
    for (; weights != from.weights.end() && weights->first.first == ref.model; ++weights)
        to.weights.insert(weights->first.second);
    auto adapter = from.adapters.lower_bound({ref, ""});
    for (; adapter != from.adapters.end() && adapter->first.first == ref; ++adapter)
        to.adapters.insert(adapter->first.second);
}

stated_versions version_history::versions_of(const std::string& service, const fleet::model_ref& ref) const {
    stated_versions out;
    for (const auto& [id, statement] : current_)
        if (statement.service == service)
            add(out, statement, ref);
    if (const auto past = past_.find(service); past != past_.end())
        add(out, past->second, ref);
    return out;
}

} // namespace waxwinglb::core::streams
