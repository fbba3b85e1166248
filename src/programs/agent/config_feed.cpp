#include "programs/agent/config_feed.hpp"

namespace waxwinglb::programs::agent {
namespace {

using kind = wire::message_kind;

constexpr int max_parts = 1'000; // of one update; larger ones are ignored

/// Returns the joined changes of an update when its last part has arrived, nullopt before.
std::optional<std::vector<core::config::change>> join_parts(std::vector<wire::config_update>& parts,
                                                            wire::config_update&& update) {
    const int expected_parts = std::max(1, update.parts);
    if (!parts.empty() && (parts.front().revision != update.revision || parts.front().parts != update.parts))
        parts.clear();
    if (expected_parts > max_parts)
        return std::nullopt;
    parts.push_back(std::move(update));
    if (static_cast<int>(parts.size()) < expected_parts)
        return std::nullopt;
    std::vector<core::config::change> changes;
    for (const wire::config_update& part : parts)
        for (const wire::config_entry& entry : part.entries)
            changes.push_back({entry.revision, entry.key, entry.value});
    parts.clear();
    return changes;
}

} // namespace

void subscribe(agent_state& state, edge::link_id link) {
    state.feeds[link].clear();
    wire::subscribe_config message;
    message.have_revision = state.config.revision();
    state.hub.send(link, kind::subscribe_config, 0, message);
}

void unsubscribe(agent_state& state, edge::link_id link) {
    state.feeds.erase(link);
}

void handle_config_update(agent_state& state, edge::link_id link, wire::config_update&& update) {
    const std::int64_t from = update.from_revision;
    const std::int64_t to = update.revision;
    const auto changes = join_parts(state.feeds[link], std::move(update));
    if (!changes)
        return;
    const auto result = state.config.apply(from, to, *changes);
    if (result == core::config::apply_result::gap)
        return subscribe(state, link);
    if (result == core::config::apply_result::malformed) {
        state.log->warn("malformed configuration update to revision {} ignored", to);
        return;
    }
    if (result == core::config::apply_result::applied) {
        state.report_due = true;
        state.program.timeline.add(edge::event_kind::configuration, std::to_string(to), "applied");
    }
    wire::apply_report applied;
    applied.process = state.program.name;
    applied.revision = state.config.revision();
    state.hub.send(link, kind::apply_report, 0, applied);
}

void handle_config_fresh(agent_state& state, const wire::config_fresh& fresh, time_point now) {
    state.config.confirm(fresh.revision, core::common::milliseconds{fresh.fresh_ms}, now);
}

} // namespace waxwinglb::programs::agent
