#include "programs/gateway/settings.hpp"

#include <algorithm>
#include <sstream>

namespace waxwinglb::programs::gateway {
namespace {

constexpr core::common::milliseconds min_view_limit{1'000};
constexpr core::common::milliseconds min_window{1'000};
constexpr core::common::milliseconds max_window{60'000}; // totals are kept for four windows

/// Reads a comma-separated list of duties.
void read_kinds(const std::string& text, duty_settings& out) {
    std::istringstream list{text};
    for (std::string kind; std::getline(list, kind, ',');) {
        const auto first = kind.find_first_not_of(' ');
        kind = first == std::string::npos ? "" : kind.substr(first, kind.find_last_not_of(' ') + 1 - first);
        if (kind == "usage_report")
            out.usage_report = true;
        else if (kind == "autoscale")
            out.autoscale = true;
        else if (!kind.empty())
            out.unknown_kinds.push_back(kind);
    }
}

void read_duties(edge::settings_section& duties, duty_settings& out) {
    out.address = duties.address("address");
    out.calls_per_second = duties.number("calls_per_second", 0.01, 10'000, out.calls_per_second);
    read_kinds(duties.text("kinds"), out);
    out.usage_window = duties.duration("usage_window", out.usage_window);
    out.usage_late = duties.duration("usage_late", out.usage_late);
    if (out.usage_window < min_window || out.usage_window > max_window)
        duties.fault("usage_window", "expected 1s to 60s");
    if (out.usage_late.count() < 1)
        duties.fault("usage_late", "expected more than 0");
}
// With less, a single body of the usual largest size, 4 MB and its copy, would find no room.
constexpr std::int64_t least_memory = 64'000'000; // bytes

} // namespace

void read_settings(edge::settings_section& in, gateway_settings& out) {
    out.data_centre = in.text("data_centre");
    out.http = in.address("http");
    out.readiness = in.address("readiness");
    out.metrics = in.address("metrics");
    out.peers = in.address("peers");
    out.store = in.address("store");
    out.lease_term = in.duration("lease_term", out.lease_term);
    out.drain = in.duration("drain", out.drain);
    if (out.lease_term.count() < 100)
        in.fault("lease_term", "expected 100ms or more");
    in.section("log", false, [&](edge::settings_section& log) {
        out.request_lines =
            static_cast<int>(log.integer("request_lines_per_second", 1, 1'000'000, out.request_lines));
    });
    in.section("dispatch", false, [&](edge::settings_section& dispatch) {
        out.prompt_tokens_at_once = static_cast<int>(
            dispatch.integer("prompt_tokens_at_once", 0, 1'000'000, out.prompt_tokens_at_once));
        out.prompt_tokens_per_second = static_cast<int>(
            dispatch.integer("prompt_tokens_per_second", 0, 10'000'000, out.prompt_tokens_per_second));
        out.learn_speeds = dispatch.flag("learn_speeds", out.learn_speeds);
        out.shared_room = dispatch.flag("shared_room", out.shared_room);
    });
    in.section("exchange", false, [&](edge::settings_section& exchange) {
        out.processor_share = exchange.number("processor_share", 0, 1'000, out.processor_share);
        out.single_group = static_cast<std::size_t>(
            exchange.integer("single_group", 1, 1'000, static_cast<std::int64_t>(out.single_group)));
    });
    in.section("store_view", false, [&](edge::settings_section& view) {
        auto& [departures, configuration, data_centres] = out.view_limits;
        departures = view.duration("departures", departures);
        configuration = view.duration("configuration", configuration);
        data_centres = view.duration("data_centres", data_centres);
        if (std::min({departures, configuration, data_centres}) < min_view_limit)
            view.fault("departures, configuration, data_centres", "expected 1s or more");
    });
    in.section("ingress", false, [&](edge::settings_section& ingress) {
        out.ingress.memory = ingress.bytes("memory", out.ingress.memory);
        out.ingress.connections =
            static_cast<int>(ingress.integer("connections", 1, 900, out.ingress.connections));
        out.ingress.page_connections =
            static_cast<int>(ingress.integer("page_connections", 1, 1'000, out.ingress.page_connections));
        out.ingress.progress_timeout = ingress.duration("progress_timeout", out.ingress.progress_timeout);
        if (out.ingress.memory < least_memory)
            ingress.fault("memory", "expected 64MB or more");
        if (out.ingress.progress_timeout.count() < 100)
            ingress.fault("progress_timeout", "expected 100ms or more");
    });
    in.section("retries", false, [&](edge::settings_section& retries) {
        out.retries.ratio = retries.number("ratio", 0, 10, out.retries.ratio);
        out.retries.slack = retries.number("slack", 0, 1e6, out.retries.slack);
        out.retries.window = retries.duration("window", out.retries.window);
    });
    in.section("duties", false, [&](edge::settings_section& duties) { read_duties(duties, out.duties); });
    in.section("placing", false, [&](edge::settings_section& placing) {
        out.placing.parallel_store_loads = static_cast<int>(
            placing.integer("parallel_store_loads", 1, 1'000, out.placing.parallel_store_loads));
        out.placing.load_factor = placing.number("load_factor", 0, 1, out.placing.load_factor);
        out.placing.settle = placing.duration("settle", out.placing.settle);
        out.placing.running_cost = placing.duration("running_cost", out.placing.running_cost);
        out.placing.requests_per_replica = static_cast<int>(
            placing.integer("requests_per_replica", 1, 10'000, out.placing.requests_per_replica));
    });
}

} // namespace waxwinglb::programs::gateway
