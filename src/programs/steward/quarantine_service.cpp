#include "programs/steward/quarantine_service.hpp"

namespace waxwinglb::programs::steward {

using core::common::milliseconds;
using core::common::time_point;
using nlohmann::json;

void quarantine_service::on_acquired(int shard, const json& state, time_point now) {
    on_lost(shard);
    const auto stored = state.find("quarantine");
    if (stored == state.end() || !stored->is_array())
        return;
    for (const json& value : *stored) {
        set_record& set = sets_[{value.value("service", std::string{}), value.value("model", std::string{})}];
        set.shard = shard;
        core::quarantine::entry entry;
        entry.fingerprint = value.value("fingerprint", std::string{});
        entry.crashes = value.value("crashes", 0);
        entry.condemned = value.value("condemned", false);
        // The stored term is what remained at the time of the write, so a change of holder can extend the
        // term but never shorten it.
        entry.until = now + milliseconds{value.value("remaining_ms", std::int64_t{0})};
        set.record.merge(entry, now);
    }
}

void quarantine_service::on_lost(int shard) {
    std::erase_if(sets_, [&](const auto& named_set) { return named_set.second.shard == shard; });
}

void quarantine_service::encode(int shard, json& state, time_point now) const {
    json out = json::array();
    for (const auto& [name, set] : sets_) {
        if (set.shard != shard)
            continue;
        for (const wire::quarantine& entry : entries(name.first, name.second, now))
            out.push_back({{"service", name.first},
                           {"model", name.second},
                           {"fingerprint", entry.fingerprint},
                           {"crashes", entry.crashes},
                           {"condemned", entry.condemned},
                           {"remaining_ms", entry.remaining_ms}});
    }
    if (!out.empty())
        state["quarantine"] = std::move(out);
}

void quarantine_service::on_crash_report(const wire::crash_report& report, int shard, time_point now) {
    set_record& set = sets_[{report.service_name, report.model}];
    set.shard = shard;
    set.record.crashed(report.fingerprints, report.isolated, now);
    context_.program.timeline.add(
        edge::event_kind::fault, report.service_name + "/" + report.model,
        report.target + " crashed with " + std::to_string(report.fingerprints.size()) +
            (report.isolated ? " request alone: condemned" : " requests in flight: suspects"));
    notify(report.service_name, report.model, now);
}

std::vector<wire::quarantine> quarantine_service::entries(const std::string& service,
                                                          const std::string& model, time_point now) const {
    std::vector<wire::quarantine> out;
    const auto found = sets_.find({service, model});
    if (found == sets_.end())
        return out;
    for (const core::quarantine::entry& recorded : found->second.record.entries()) {
        if (recorded.until <= now)
            continue;
        wire::quarantine entry;
        entry.__set_fingerprint(recorded.fingerprint);
        entry.__set_remaining_ms(core::common::to_wire_ms(recorded.until - now));
        entry.__set_crashes(recorded.crashes);
        entry.__set_condemned(recorded.condemned);
        out.push_back(std::move(entry));
    }
    return out;
}

void quarantine_service::notify(const std::string& service, const std::string& model, time_point now) const {
    wire::quarantine_notice notice;
    notice.__set_entries(entries(service, model, now));
    for (const edge::link_id link : targets_.links_of(service))
        context_.links.send(link, wire::message_kind::quarantine_notice, 0, notice);
}

void quarantine_service::tick(time_point now) {
    if (now - notified_at_ < notice_interval)
        return;
    notified_at_ = now;
    for (auto& [name, set] : sets_) {
        set.record.expire(now);
        if (!set.record.entries().empty())
            notify(name.first, name.second, now);
    }
}

} // namespace waxwinglb::programs::steward
