#include "programs/agent/reports.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::programs::agent {
namespace {

using core::common::milliseconds;
using kind = wire::message_kind;

constexpr milliseconds report_interval{500};
constexpr std::size_t chunk_bytes = 256U << 10U; // largest payload of one chunk message

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

wire::loaded_model describe(const std::string& name, const core::memory::replica& replica, time_point now) {
    wire::loaded_model model;
    model.model = name;
    model.version = replica.version;
    model.decision = replica.decision;
    model.state = core::memory::name_of(replica.state);
    model.bytes = replica.bytes;
    model.idle_ms = replica.in_use > 0 ? 0 : core::common::to_wire_ms(now - replica.last_used);
    for (const auto& [adapter, loaded] : replica.adapters)
        if (!loaded.loading && !loaded.unloading && !loaded.unsure)
            model.adapters.push_back(adapter);
    return model;
}

wire::target_report make_report(agent_state& state, time_point now) {
    wire::target_report report;
    report.target = state.settings.target;
    report.vm = state.settings.vm;
    report.data_centre = state.settings.data_centre;
    report.service_name = state.settings.service;
    report.boot = state.boot;
    report.memory_bytes = state.ledger.capacity();
    report.free_bytes = state.ledger.free_bytes();
    for (const auto& [name, replica] : state.ledger.replicas())
        report.models.push_back(describe(name, replica, now));
    report.load = load_of(state);
    report.draining = state.draining();
    report.config_revision = state.config.revision();
    report.sequence = ++state.report_sequence;
    return report;
}

} // namespace

milliseconds estimate_wait(const agent_state& state, const std::string& customer) {
    const std::size_t ahead = state.queue.ahead_of(customer);
    const int limit = std::max(1, state.ramp.limit());
    if (ahead == 0 && state.running < limit)
        return milliseconds{0};
    return milliseconds{std::llround(
        std::ceil(state.average_service_ms * static_cast<double>(ahead + 1) / static_cast<double>(limit)))};
}

wire::replica_load load_of(const agent_state& state) {
    wire::replica_load load;
    load.running = state.running;
    load.waiting = static_cast<std::int32_t>(state.queue.size() + state.awaiting_adapter.size());
    load.limit = state.target_up ? state.ramp.limit() : 0;
    load.draining = state.draining();
    load.boot = state.boot;
    load.estimate_ms = estimate_wait(state, "").count();
    return load;
}

void handle_watch(agent_state& state, edge::link_id link) {
    state.watchers.insert(link);
    state.report_due = true;
}

void report_if_due(agent_state& state, time_point now) {
    if (state.watchers.empty() || (!state.report_due && now < state.next_report))
        return;
    state.report_due = false;
    state.next_report = now + report_interval;
    const std::string bytes = edge::encode_frame(kind::target_report, 0, make_report(state, now));
    for (const edge::link_id link : state.watchers)
        state.hub.send_bytes(link, bytes);
}

void report_crash(agent_state& state, const std::vector<const active_request*>& in_flight, bool alone) {
    std::map<std::string, wire::crash_report> by_model;
    for (const active_request* request : in_flight) {
        wire::crash_report& report = by_model[request->message.model];
        if (!request->message.fingerprint.empty())
            report.fingerprints.push_back(request->message.fingerprint);
    }
    for (auto& [model, report] : by_model) {
        report.service_name = state.settings.service;
        report.model = model;
        report.isolated = alone;
        report.target = state.settings.target;
        for (const edge::link_id link : state.watchers)
            state.hub.send(link, kind::crash_report, 0, report);
    }
}

void send_accepted(agent_state& state, const listener& to, const attempt_key& key) {
    wire::run_accepted message;
    message.request_id = key.request_id;
    message.attempt = key.attempt;
    message.agent_boot = state.boot;
    state.hub.send(to.link, kind::run_accepted, to.call, message);
}

void send_chunk(agent_state& state, const listener& to, const attempt_key& key, std::int64_t offset,
                std::string_view data) {
    while (!data.empty()) {
        wire::run_chunk message;
        message.request_id = key.request_id;
        message.attempt = key.attempt;
        message.offset = offset;
        message.data = std::string{data.substr(0, chunk_bytes)};
        data.remove_prefix(message.data.size());
        offset += static_cast<std::int64_t>(message.data.size());
        state.hub.send(to.link, kind::run_chunk, to.call, message);
    }
}

void send_finished(agent_state& state, const listener& to, const attempt_key& key,
                   const core::answers::answer& kept) {
    wire::run_finished message;
    message.request_id = key.request_id;
    message.attempt = key.attempt;
    message.status = kept.status;
    message.length = kept.length;
    message.used_tokens = kept.used_tokens;
    for (const auto& [name, value] : kept.headers) {
        wire::header_field field;
        field.name = name;
        field.value = value;
        message.headers.push_back(field);
    }
    message.load = load_of(state);
    state.hub.send(to.link, kind::run_finished, to.call, message);
}

void send_refused(agent_state& state, const listener& to, const attempt_key& key,
                  const core::answers::refusal& why) {
    wire::run_refused message;
    message.request_id = key.request_id;
    message.attempt = key.attempt;
    message.reason = static_cast<wire::refusal::type>(why.reason);
    message.ran = wire_of(why.ran);
    message.retry_after_ms = why.retry_after.count();
    message.detail = why.detail;
    message.suspect = why.suspect;
    message.load = load_of(state);
    state.hub.send(to.link, kind::run_refused, to.call, message);
}

} // namespace waxwinglb::programs::agent
