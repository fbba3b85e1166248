#include "core/config/replica.hpp"

#include "core/config/codec.hpp"

#include <algorithm>

namespace waxwinglb::core::config {
namespace {

template<class table>
void move_into(table& into, table& from) {
    for (auto& [name, value] : from)
        into.insert_or_assign(name, std::move(value));
}

/// Moves all entries of `from` over those of `into`.
void merge(snapshot& into, snapshot& from) {
    move_into(into.services, from.services);
    move_into(into.models, from.models);
    move_into(into.customers, from.customers);
    move_into(into.keys, from.keys);
    move_into(into.presets, from.presets);
    move_into(into.data_centres, from.data_centres);
    move_into(into.acceptors, from.acceptors);
    if (!from.preset_in_force.empty())
        into.preset_in_force = std::move(from.preset_in_force);
}

} // namespace

apply_result replica::apply(std::int64_t from, std::int64_t to, const std::vector<change>& changes) {
    if (to <= state_.revision)
        return apply_result::old;
    if (from != 0 && from > state_.revision)
        return apply_result::gap;
    // Decodes the changed entries into a separate snapshot first, so a malformed one leaves state_ unchanged.
    snapshot changed;
    std::vector<const change*> deletions;
    for (const change& entry : changes) {
        // The range may start before this replica's revision; changes it already has are skipped.
        if (from != 0 && entry.revision <= state_.revision)
            continue;
        if (!apply_entry(changed, entry.key, entry.value))
            return apply_result::malformed;
        if (entry.value.empty())
            deletions.push_back(&entry);
    }
    if (from == 0) {
        state_ = std::move(changed);
    } else {
        // An entry deleted and created again in the range is in `changed`, so all deletions may go first.
        for (const change* entry : deletions)
            apply_entry(state_, entry->key, {});
        merge(state_, changed);
    }
    state_.revision = to;
    return apply_result::applied;
}

void replica::confirm(std::int64_t revision, common::duration fresh_for, common::time_point now) {
    if (revision > state_.revision)
        return;
    fresh_until_ = std::max(fresh_until_, now + fresh_for);
}

} // namespace waxwinglb::core::config
