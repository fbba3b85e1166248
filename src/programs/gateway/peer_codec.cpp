#include "programs/gateway/peer_codec.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::exchange::order_giver_sighting;
using core::exchange::usage;

constexpr milliseconds max_departure_age{86'400'000}; // a day; older ones are as good as forgotten
constexpr std::int64_t unknown_age_ms = -1;

usage decode(const std::vector<wire::customer_use>& customers, const std::vector<wire::target_load>& loads) {
    usage out;
    for (const auto& use : customers)
        out.taken[use.customer] = use.tokens;
    for (const auto& load : loads)
        out.running[load.target] = load.running;
    return out;
}

void encode(const usage& from, std::vector<wire::customer_use>& customers,
            std::vector<wire::target_load>& loads) {
    for (const auto& [customer, tokens] : from.taken) {
        wire::customer_use use;
        use.customer = customer;
        use.tokens = tokens;
        customers.push_back(std::move(use));
    }
    for (const auto& [target, running] : from.running) {
        wire::target_load load;
        load.target = target;
        load.running = running;
        loads.push_back(std::move(load));
    }
}

order_giver_sighting decode(const wire::order_giver_sighting& from) {
    return {from.process, from.address, milliseconds{from.age_ms}, from.active, from.reads_store};
}

wire::order_giver_sighting encode(const order_giver_sighting& from) {
    wire::order_giver_sighting out;
    out.process = from.name;
    out.address = from.address;
    out.age_ms = core::common::to_wire_ms(from.age);
    out.active = from.active;
    out.reads_store = from.reads_store;
    return out;
}

/// The parts that the reports on the own group and on the other ones have in common.
template<class report_type, class status_type>
report_type decode_common(const status_type& from) {
    report_type out;
    out.in_contact = from.in_contact;
    out.departed = from.departed;
    out.reader = from.reader;
    out.use = decode(from.sums.customers, from.sums.loads);
    if (from.__isset.order_giver)
        out.order_giver = decode(from.order_giver);
    return out;
}

template<class status_type, class report_type>
status_type encode_common(const report_type& from) {
    status_type out;
    out.in_contact = from.in_contact;
    out.departed = from.departed;
    out.reader = from.reader;
    encode(from.use, out.sums.customers, out.sums.loads);
    if (from.order_giver)
        out.__set_order_giver(encode(*from.order_giver));
    return out;
}

core::exchange::group_report decode(const wire::group_status& from) {
    auto out = decode_common<core::exchange::group_report>(from);
    out.groups_in_contact = from.hears;
    return out;
}

wire::group_status encode(const core::exchange::group_report& from) {
    auto out = encode_common<wire::group_status>(from);
    out.hears = from.groups_in_contact;
    return out;
}

core::exchange::outside_report decode(const wire::outside_status& from) {
    auto out = decode_common<core::exchange::outside_report>(from);
    out.speakers = from.speakers;
    return out;
}

wire::outside_status encode(const core::exchange::outside_report& from) {
    auto out = encode_common<wire::outside_status>(from);
    out.speakers = from.speakers;
    return out;
}

} // namespace

core::quarantine::part_report decode_part(const wire::suspect_part& from) {
    core::quarantine::part_report out;
    out.part = static_cast<std::uint64_t>(from.part);
    for (std::size_t index = 0; index < std::min(from.target_runs.size(), from.ages_ms.size()); ++index)
        out.crashes.emplace_back(static_cast<std::uint64_t>(from.target_runs[index]),
                                 milliseconds{std::max<std::int64_t>(0, from.ages_ms[index])});
    if (from.sound_age_ms >= 0)
        out.sound_age = milliseconds{from.sound_age_ms};
    return out;
}

wire::suspect_part encode_part(const core::quarantine::part_report& report) {
    wire::suspect_part out;
    out.part = static_cast<std::int64_t>(report.part);
    for (const auto& [run, age] : report.crashes) {
        out.target_runs.push_back(static_cast<std::int64_t>(run));
        out.ages_ms.push_back(age.count());
    }
    out.sound_age_ms = report.sound_age ? report.sound_age->count() : -1;
    return out;
}

core::exchange::report decode_report(const wire::peer_status& status) {
    core::exchange::report out;
    out.process = status.process;
    out.address = status.address;
    out.boot = status.boot;
    out.sequence = status.sequence;
    out.data_centre = status.data_centre;
    out.group = status.group;
    out.fleet_size = status.fleet_size;
    out.processor_share = status.processor_share;
    out.leaving = status.leaving;
    out.gives_orders = status.gives_orders;
    out.reads_store = status.reads_store;
    out.reads_targets = !status.wants_registrations;
    out.members_in_contact = status.heard;
    if (!status.to_other_group)
        out.own = decode(status.customers, status.loads);
    if (status.__isset.group_use)
        out.group_use = decode(status.group_use);
    if (status.__isset.outside)
        out.outside = decode(status.outside);
    return out;
}

void encode_report(const core::exchange::report& report, wire::peer_status& to) {
    to.process = report.process;
    to.address = report.address;
    to.boot = report.boot;
    to.sequence = report.sequence;
    to.data_centre = report.data_centre;
    to.group = report.group;
    to.fleet_size = report.fleet_size;
    to.processor_share = report.processor_share;
    to.leaving = report.leaving;
    to.gives_orders = report.gives_orders;
    to.reads_store = report.reads_store;
    to.wants_registrations = !report.reads_targets;
    to.heard = report.members_in_contact;
    to.to_other_group = !report.own;
    if (report.own)
        encode(*report.own, to.customers, to.loads);
    if (report.group_use)
        to.__set_group_use(encode(*report.group_use));
    if (report.outside)
        to.__set_outside(encode(*report.outside));
}

core::fleet::departure decode_departure(const wire::leaving_target& from) {
    core::fleet::departure out{{from.target, from.born}, {}, {}};
    if (from.__isset.era && from.__isset.revision)
        out.at = {from.era, from.revision};
    if (from.__isset.age_ms)
        out.age = std::clamp(milliseconds{from.age_ms}, milliseconds{0}, max_departure_age);
    return out;
}

wire::leaving_target encode_departure(const core::fleet::departure& from) {
    wire::leaving_target out;
    out.target = from.start.id;
    out.born = from.start.born;
    out.__set_era(from.at.era);
    out.__set_revision(from.at.revision);
    out.__set_age_ms(core::common::to_wire_ms(from.age));
    return out;
}

core::fleet::target_entry decode_registration(const wire::target_registration& from) {
    core::fleet::target_entry out;
    out.id = from.target;
    out.born = from.born;
    if (from.__isset.era && from.__isset.revision)
        out.changed = {from.era, from.revision};
    out.service = from.service_name;
    out.address = from.address;
    out.data_centre = from.data_centre;
    out.slots = from.slots;
    out.draining = from.draining;
    out.cold_left = milliseconds{from.cold_ms};
    out.software_version = from.software_version;
    return out;
}

wire::target_registration encode_registration(const core::fleet::target& from, core::common::time_point now) {
    wire::target_registration out;
    out.target = from.entry.id;
    out.born = from.entry.born;
    out.__set_era(from.entry.changed.era);
    out.__set_revision(from.entry.changed.revision);
    out.service_name = from.entry.service;
    out.address = from.entry.address;
    out.data_centre = from.entry.data_centre;
    out.slots = from.entry.slots;
    out.software_version = from.entry.software_version;
    out.draining = from.leaving();
    out.cold_ms = core::common::to_wire_ms(from.cold_until - now);
    return out;
}

wire::store_view encode_view(const core::membership::store_view& from,
                             core::common::store_position registrations_at, core::common::time_point now) {
    const auto age_ms = [&](core::membership::stored_kind kind) {
        const auto age = from.age(kind, now);
        return age ? core::common::to_wire_ms(*age) : unknown_age_ms;
    };
    wire::store_view out;
    out.departures_ms = age_ms(core::membership::stored_kind::departures);
    out.configuration_ms = age_ms(core::membership::stored_kind::configuration);
    out.data_centres_ms = age_ms(core::membership::stored_kind::data_centres);
    out.era = registrations_at.era;
    out.revision = registrations_at.revision;
    return out;
}

std::optional<core::target_speed::learned_speed> decode_speed(const wire::target_speed& from) {
    if (!std::isfinite(from.speed) || from.speed <= 0 || from.samples < 0)
        return std::nullopt;
    return core::target_speed::learned_speed{{from.target, from.born}, from.speed, from.samples};
}

wire::target_speed encode_speed(const core::target_speed::learned_speed& from) {
    wire::target_speed out;
    out.target = from.target.id;
    out.born = from.target.born;
    out.speed = from.speed;
    out.samples = from.samples;
    return out;
}

versions_by_service decode_versions(const std::vector<wire::dated_versions>& from,
                                    core::common::time_point now) {
    versions_by_service out;
    for (const auto& service : from) {
        core::streams::dated_versions& versions = out[service.service_name];
        for (const auto& each : service.software)
            versions.software[each.software_version] = now - milliseconds{each.age_ms};
        for (const auto& each : service.weights)
            versions.weights[{each.model, each.weights}] = now - milliseconds{each.age_ms};
        for (const auto& each : service.adapters)
            versions.adapters[{core::fleet::parse_model_ref(each.adapter), each.adapter_version}] =
                now - milliseconds{each.age_ms};
    }
    return out;
}

std::vector<wire::dated_versions> encode_versions(const versions_by_service& from,
                                                  core::common::time_point now) {
    std::vector<wire::dated_versions> out;
    for (const auto& [service, versions] : from) {
        wire::dated_versions& entry = out.emplace_back();
        entry.service_name = service;
        for (const auto& [software, until] : versions.software) {
            wire::dated_software& each = entry.software.emplace_back();
            each.software_version = software;
            each.age_ms = core::common::to_wire_ms(now - until);
        }
        for (const auto& [weights, until] : versions.weights) {
            wire::dated_weights& each = entry.weights.emplace_back();
            each.model = weights.first;
            each.weights = weights.second;
            each.age_ms = core::common::to_wire_ms(now - until);
        }
        for (const auto& [adapter, until] : versions.adapters) {
            wire::dated_adapter& each = entry.adapters.emplace_back();
            each.adapter = core::fleet::to_text(adapter.first);
            each.adapter_version = adapter.second;
            each.age_ms = core::common::to_wire_ms(now - until);
        }
    }
    return out;
}

} // namespace waxwinglb::programs::gateway
