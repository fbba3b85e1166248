#include "programs/agent/reports.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::programs::agent {
namespace {

using core::common::milliseconds;
using kind = wire::message_kind;

constexpr milliseconds report_every{500};
constexpr std::size_t chunk_bytes = 256U << 10U; // of a kept answer sent at once

wire::run_state::type wire_of(core::answers::run_status ran) {
    switch (ran) {
    case core::answers::run_status::not_run:
        return wire::run_state::not_run;
    case core::answers::run_status::run:
        return wire::run_state::run;
    case core::answers::run_status::unknown:
        break;
    }
    return wire::run_state::unknown;
}

wire::loaded_model describe(const std::string& name, const core::memory::replica& one, time_point now) {
    wire::loaded_model out;
    out.model = name;
    out.version = one.version;
    out.decision = one.decision;
    out.state = core::memory::name_of(one.state);
    out.bytes = one.bytes;
    out.idle_ms = one.in_use > 0 ? 0 : core::common::to_wire_ms(now - one.last_used);
    for (const auto& [adapter, held] : one.adapters)
        if (!held.loading && !held.unloading && !held.unsure)
            out.adapters.push_back(adapter);
    return out;
}

wire::target_report make_report(state& all, time_point now) {
    wire::target_report out;
    out.target = all.settings.target;
    out.vm = all.settings.vm;
    out.data_centre = all.settings.data_centre;
    out.service_name = all.settings.service;
    out.boot = all.boot;
    out.memory_bytes = all.ledger.capacity();
    out.free_bytes = all.ledger.free_bytes();
    for (const auto& [name, one] : all.ledger.replicas())
        out.models.push_back(describe(name, one, now));
    out.load = load_of(all);
    out.draining = all.draining();
    out.config_revision = all.config.revision();
    out.sequence = ++all.report_sequence;
    return out;
}

} // namespace

milliseconds estimate_wait(const state& all, const std::string& customer) {
    const std::size_t ahead = all.queue.ahead_of(customer);
    const int limit = std::max(1, all.ramp.limit());
    if (ahead == 0 && all.running < limit)
        return milliseconds{0};
    return milliseconds{std::llround(
        std::ceil(all.service_ms * static_cast<double>(ahead + 1) / static_cast<double>(limit)))};
}

wire::replica_load load_of(const state& all) {
    wire::replica_load out;
    out.running = all.running;
    out.waiting = static_cast<std::int32_t>(all.queue.size() + all.awaiting_adapter.size());
    out.limit = all.target_up ? all.ramp.limit() : 0;
    out.draining = all.draining();
    out.boot = all.boot;
    out.estimate_ms = estimate_wait(all, "").count();
    return out;
}

void take_watch(state& all, edge::link_id link) {
    all.watchers.insert(link);
    all.report_due = true;
}

void report_if_due(state& all, time_point now) {
    if (all.watchers.empty() || (!all.report_due && now < all.next_report))
        return;
    all.report_due = false;
    all.next_report = now + report_every;
    const std::string bytes = edge::encode_frame(kind::target_report, 0, make_report(all, now));
    for (const edge::link_id link : all.watchers)
        all.hub.send_bytes(link, bytes);
}

void report_crash(state& all, const std::vector<const request*>& in_flight, bool alone) {
    std::map<std::string, wire::crash_report> by_model;
    for (const request* one : in_flight) {
        wire::crash_report& report = by_model[one->message.model];
        if (!one->message.fingerprint.empty())
            report.fingerprints.push_back(one->message.fingerprint);
    }
    for (auto& [model, report] : by_model) {
        report.service_name = all.settings.service;
        report.model = model;
        report.isolated = alone;
        report.target = all.settings.target;
        for (const edge::link_id link : all.watchers)
            all.hub.send(link, kind::crash_report, 0, report);
    }
}

void send_accepted(state& all, const listener& to, const attempt_key& key) {
    wire::run_accepted out;
    out.request_id = key.request_id;
    out.attempt = key.attempt;
    out.agent_boot = all.boot;
    all.hub.send(to.link, kind::run_accepted, to.call, out);
}

void send_chunk(state& all, const listener& to, const attempt_key& key, std::int64_t offset,
                std::string_view data) {
    while (!data.empty()) {
        wire::run_chunk out;
        out.request_id = key.request_id;
        out.attempt = key.attempt;
        out.offset = offset;
        out.data = std::string{data.substr(0, chunk_bytes)};
        data.remove_prefix(out.data.size());
        offset += static_cast<std::int64_t>(out.data.size());
        all.hub.send(to.link, kind::run_chunk, to.call, out);
    }
}

void send_finished(state& all, const listener& to, const attempt_key& key,
                   const core::answers::answer& kept) {
    wire::run_finished out;
    out.request_id = key.request_id;
    out.attempt = key.attempt;
    out.status = kept.status;
    out.length = kept.length;
    out.used_tokens = kept.used_tokens;
    for (const auto& [name, value] : kept.headers) {
        wire::header_field field;
        field.name = name;
        field.value = value;
        out.headers.push_back(field);
    }
    out.load = load_of(all);
    all.hub.send(to.link, kind::run_finished, to.call, out);
}

void send_refused(state& all, const listener& to, const attempt_key& key, const core::answers::refusal& why) {
    wire::run_refused out;
    out.request_id = key.request_id;
    out.attempt = key.attempt;
    out.reason = static_cast<wire::refusal::type>(why.reason);
    out.ran = wire_of(why.ran);
    out.retry_after_ms = why.retry_after.count();
    out.detail = why.detail;
    out.suspect = why.suspect;
    out.load = load_of(all);
    all.hub.send(to.link, kind::run_refused, to.call, out);
}

} // namespace waxwinglb::programs::agent
