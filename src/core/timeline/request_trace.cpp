#include "core/timeline/request_trace.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace waxwinglb::core::timeline {
namespace {

using nlohmann::ordered_json;

constexpr int counter_bits = 16;                        // below the milliseconds of a hybrid clock
constexpr std::int64_t min_reported_silence_ms = 1'000; // a stream's events follow each other within 300 ms
constexpr std::int64_t margin_ms = 50;                  // typical clock difference of two VMs

struct reason_text {
    std::string_view reason;
    std::string_view cause;
};

/// Reasons of request_* events with their explanations.
constexpr std::array reason_causes{
    reason_text{"whole", "Its target's answer was forwarded completely."},
    reason_text{"target_error", "Its target ran it and answered with an error of its own."},
    reason_text{"no_configuration", "This gateway had not read any configuration yet."},
    reason_text{"starting", "This gateway had just started, and the store might have been behind the fleet."},
    reason_text{"no_route", "No route of the configuration in force matches its host and path."},
    reason_text{"no_request_id", "It had no id."},
    reason_text{"no_key", "It had no key, on a route that requires one."},
    reason_text{"unknown_key", "Its key belongs to no customer in the configuration in force."},
    reason_text{"malformed_deadline", "Its deadline is not a number."},
    reason_text{"malformed_token_count", "Its count of tokens is malformed."},
    reason_text{"deadline_passed", "Its deadline had passed when it arrived."},
    reason_text{"over_rate", "Its customer had used up its rate and burst over all gateways."},
    reason_text{"unknown_model",
                "Its service's engine has no such model or adapter in the configuration in force."},
    reason_text{"condemned", "Targets had ended under the same request, or under a part of its prompt."},
    reason_text{"ending", "This gateway was shutting down and accepted no new requests."},
    reason_text{"none", "A target became free at the moment at which it was refused."},
    reason_text{"reading", "The targets that could serve it were still reading the prompts of others."},
    reason_text{"full", "Every target that could serve it had reached its limit of requests."},
    reason_text{
        "cold",
        "The targets that could serve it had just started and accepted only a few requests a second."},
    reason_text{"paused", "The targets that could serve it had asked for a time without requests."},
    reason_text{"no_adapter", "Its adapter was loaded on no target in time."},
    reason_text{"loading",
                "Its model was still being loaded when its time ran out, or could not be loaded in time."},
    reason_text{"no_model",
                "Its model was on no target and could not be loaded in time, or no load of it had begun."},
    reason_text{"unreachable", "Connections to the targets that could serve it had just failed."},
    reason_text{"no_target",
                "No target of its service was registered, not leaving, and in a data centre in use."},
    reason_text{"other_version",
                "It goes on a stream, and no target had the software, weights and adapter that "
                "began it."},
    reason_text{"target_unreachable", "The connection to its target could not be opened."},
    reason_text{"wrong_target", "Its target no longer held the model, or another target had its address."},
    reason_text{"target_full", "Its target reported that it had not run it."},
    reason_text{"connection_broken", "The connection to its target broke while it may have been running."},
    reason_text{"connection_timed_out",
                "Its target's VM or network no longer acknowledged anything while it may have been running."},
    reason_text{"ended_inside_event", "Its target ended the stream in the middle of an event."},
    reason_text{"ended_without_event",
                "Its target closed the connection of a stream without length before the first event."},
    reason_text{
        "run_goes_on",
        "Its target closed the connection of a stream without length and reported further events of it."},
    reason_text{"answer_malformed", "Its target sent no valid answer to it."},
    reason_text{"answer_without_signature",
                "Its target's successful answer had no signature or was encoded."},
    reason_text{"answer_too_large", "Its answer exceeded the size limit of answers forwarded in one piece."},
    reason_text{"event_too_large", "An event of its stream exceeded the size limit, or had no end."},
    reason_text{"resumption_failed", "Its stream broke and could not be resumed on another target."},
    reason_text{"deadline_passed_waiting", "No target took it before its deadline or its route's timeout."},
    reason_text{"deadline_passed_running",
                "Its target did not finish before its deadline or its route's timeout."},
    reason_text{"caller_left", "Its caller closed the connection."},
};

bool is_request_end(const std::string& event) {
    return event == "request_answered" || event == "request_refused" || event == "request_cut" ||
           event == "request_abandoned";
}

bool is_fleet_event(const std::string& event) {
    return event.starts_with("lease_") || event.starts_with("store_") || event.starts_with("peer_") ||
           event.starts_with("config_") || event == "data_centres_out" || event == "target_leaving" ||
           event == "target_paused" || event == "target_limited" || event.starts_with("process_") ||
           event == "lines_dropped";
}

std::string text_of(const ordered_json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::optional<decision> parse_line(const std::string& line) {
    const auto begin = line.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    const ordered_json parsed =
        ordered_json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("event") || !parsed.contains("unix_ms") ||
        !parsed["event"].is_string() || !parsed["unix_ms"].is_number_integer())
        return std::nullopt;
    decision out;
    for (const auto& [name, value] : parsed.items()) {
        if (name == "unix_ms")
            out.unix_ms = value.get<std::int64_t>();
        else if (name == "process")
            out.process = text_of(value);
        else if (name == "event")
            out.event = text_of(value);
        else if (name == "subject")
            out.subject = text_of(value);
        else
            out.inputs.append(out.inputs.empty() ? "" : " ").append(name).append("=").append(text_of(value));
        if (name == "silent_ms" && value.is_number_integer())
            out.silent_ms = value.get<std::int64_t>();
        if (name == "orders_in_ms" && value.is_number_integer())
            out.orders_in_ms = value.get<std::int64_t>();
        if (name == "reason")
            out.reason = text_of(value);
        if (name == "target")
            out.target = text_of(value);
        if (name == "model")
            out.model = text_of(value);
    }
    return out;
}

/// True if `line` says that a gateway had just taken the lease, so that no gateway gave orders at some moment
/// between `first` and `last`.
bool delayed_orders(const decision& line, std::int64_t first, std::int64_t last) {
    return line.event == "lease_taken" && line.unix_ms <= last && line.unix_ms + line.orders_in_ms > first;
}

bool is_waiting_for_load(const std::string& reason) {
    return reason == "no_model" || reason == "no_adapter" || reason == "loading" ||
           reason == "deadline_passed_waiting";
}

const decision* find_end(const std::vector<decision>& trace, const std::string& request) {
    const auto found = std::find_if(trace.rbegin(), trace.rend(), [&](const decision& line) {
        return line.subject == request && is_request_end(line.event);
    });
    return found == trace.rend() ? nullptr : &*found;
}

/// Explains why no load came for a request that waited for one, if a change of the order giver delayed
/// orders; empty otherwise.
std::string explain_missing_orders(const std::vector<decision>& trace, const std::string& request,
                                   const decision& end) {
    if (!is_waiting_for_load(end.reason))
        return {};
    const auto request_start = std::find_if(trace.begin(), trace.end(),
                                            [&](const decision& line) { return line.subject == request; });
    const auto lease = std::find_if(trace.rbegin(), trace.rend(), [&](const decision& line) {
        return line.orders_in_ms > 0 && delayed_orders(line, request_start->unix_ms, end.unix_ms);
    });
    if (lease == trace.rend())
        return {};
    const std::int64_t until = lease->unix_ms + lease->orders_in_ms - request_start->unix_ms;
    return " No gateway gave orders then: " + lease->process + " had taken that lease and might give them " +
           std::to_string(until) + " ms after the request came.";
}

} // namespace

std::vector<decision> read_decisions(std::istream& from) {
    std::vector<decision> out;
    for (std::string line; std::getline(from, line);)
        if (auto parsed = parse_line(line))
            out.push_back(std::move(*parsed));
    std::stable_sort(out.begin(), out.end(),
                     [](const decision& a, const decision& b) { return a.unix_ms < b.unix_ms; });
    return out;
}

std::vector<decision> trace_request(const std::vector<decision>& all, const std::string& request) {
    std::set<std::string> targets;
    std::set<std::string> models;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const decision& line : all) {
        if (line.subject != request)
            continue;
        first = first == 0 ? line.unix_ms : std::min(first, line.unix_ms);
        last = std::max(last, line.unix_ms);
        // The arrival has no line of its own; the end's field `ms` is the time since then.
        if (is_request_end(line.event))
            if (const auto at = (" " + line.inputs).find(" ms="); at != std::string::npos)
                first =
                    std::min<std::int64_t>(first, line.unix_ms - std::atoll(line.inputs.c_str() + at + 3));
        if (!line.target.empty())
            targets.insert(line.target);
        if (!line.model.empty())
            models.insert(line.model);
    }
    std::vector<decision> out;
    if (first == 0)
        return out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out), [&](const decision& line) {
        if (line.subject == request)
            return true;
        if (line.orders_in_ms > 0 && delayed_orders(line, first, last))
            return true;
        if (line.unix_ms < first - margin_ms || line.unix_ms > last + margin_ms)
            return false;
        const bool of_target = targets.contains(line.subject) && !line.event.starts_with("request_");
        const bool of_model = line.event.starts_with("order_") && models.contains(line.model);
        return of_target || of_model || is_fleet_event(line.event);
    });
    return out;
}

std::string cause_of(const std::vector<decision>& trace, const std::string& request) {
    const decision* end = find_end(trace, request);
    if (end == nullptr)
        return trace.empty() ? "No line names this request."
                             : "Its end is not in these logs: lines were dropped, or the process was lost.";
    if (end->reason == "caller_left" && end->silent_ms >= min_reported_silence_ms)
        return "Its target had sent nothing for " + std::to_string(end->silent_ms) +
               " ms when its caller closed the connection.";
    const auto found = std::find_if(reason_causes.begin(), reason_causes.end(),
                                    [&](const reason_text& known) { return known.reason == end->reason; });
    if (found == reason_causes.end())
        return "Unknown reason: " + end->reason;
    return std::string{found->cause} + explain_missing_orders(trace, request, *end);
}

std::vector<event> as_events(const std::vector<decision>& trace) {
    std::vector<event> out;
    std::int64_t sequence = 0;
    for (const decision& line : trace)
        out.push_back({line.unix_ms << counter_bits,
                       line.process,
                       ++sequence,
                       line.event == "lines_dropped" ? "gap" : line.event,
                       line.subject,
                       {},
                       line.inputs});
    return out;
}

} // namespace waxwinglb::core::timeline
