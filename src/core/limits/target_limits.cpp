#include "core/limits/target_limits.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::limits {

bool target_limits::note(const limit_statement& statement) {
    const auto found = limits_.find(statement.target);
    if (found == limits_.end()) {
        if (!statement.per_second) // the usual case: no limit was ever named
            return false;
        limits_[statement.target] = {statement.per_second, statement.said_at};
        return true;
    }
    if (statement.said_at < found->second.said_at)
        return false;
    found->second.said_at = statement.said_at;
    return std::exchange(found->second.per_second, statement.per_second) != statement.per_second;
}

std::optional<double> target_limits::limit_of(const fleet::target_start& target) const {
    const auto found = limits_.find(target);
    if (found == limits_.end() || !found->second.per_second)
        return std::nullopt;
    return std::max(*found->second.per_second, min_target_rate);
}

std::vector<limit_statement> target_limits::statements() const {
    std::vector<limit_statement> out;
    for (const auto& [target, known] : limits_)
        out.push_back({target, known.per_second, known.said_at});
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& a, const auto& b) { return a.said_at > b.said_at; });
    if (out.size() > max_limit_statements)
        out.resize(max_limit_statements);
    return out;
}

void target_limits::expire(common::time_point now) {
    std::erase_if(limits_, [&](const auto& entry) {
        const auto retention = entry.second.per_second ? limit_retention : ended_limit_retention;
        return now - entry.second.said_at > retention;
    });
}

} // namespace waxwinglb::core::limits
