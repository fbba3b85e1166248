#include "programs/agent/config_feed.hpp"

namespace waxwinglb::programs::agent {
namespace {

using kind = wire::message_kind;

constexpr int most_parts = 1'000; // of one snapshot

/// The parts of an update put together once all are here; nullopt until then.
std::optional<std::vector<core::config::change>> join_parts(std::vector<wire::config_update>& parts,
                                                            wire::config_update&& update) {
    const int wanted = std::max(1, update.parts);
    if (!parts.empty() && (parts.front().revision != update.revision || parts.front().parts != update.parts))
        parts.clear();
    if (wanted > most_parts)
        return std::nullopt;
    parts.push_back(std::move(update));
    if (static_cast<int>(parts.size()) < wanted)
        return std::nullopt;
    std::vector<core::config::change> out;
    for (const wire::config_update& part : parts)
        for (const wire::config_entry& entry : part.entries)
            out.push_back({entry.revision, entry.key, entry.value});
    parts.clear();
    return out;
}

} // namespace

void subscribe(state& all, edge::link_id link) {
    all.feeds[link].clear();
    wire::subscribe_config out;
    out.have_revision = all.config.revision();
    all.hub.send(link, kind::subscribe_config, 0, out);
}

void unsubscribe(state& all, edge::link_id link) {
    all.feeds.erase(link);
}

void take_update(state& all, edge::link_id link, wire::config_update&& update) {
    const std::int64_t from = update.from_revision;
    const std::int64_t to = update.revision;
    const auto changes = join_parts(all.feeds[link], std::move(update));
    if (!changes)
        return;
    const auto result = all.config.apply(from, to, *changes);
    if (result == core::config::apply_result::gap)
        return subscribe(all, link);
    if (result == core::config::apply_result::malformed) {
        all.log->warn("configuration revision {} can't be read", to);
        return;
    }
    if (result == core::config::apply_result::applied) {
        all.report_due = true;
        all.program.timeline.add(edge::event_kind::configuration, std::to_string(to), "applied");
    }
    wire::apply_report applied;
    applied.process = all.program.name;
    applied.revision = all.config.revision();
    all.hub.send(link, kind::apply_report, 0, applied);
}

void take_fresh(state& all, const wire::config_fresh& fresh, time_point now) {
    all.config.confirm(fresh.revision, core::common::milliseconds{fresh.fresh_ms}, now);
}

} // namespace waxwinglb::programs::agent
