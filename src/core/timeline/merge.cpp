#include "core/timeline/merge.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace waxwinglb::core::timeline {
namespace {

using nlohmann::json;

constexpr int counter_bits = 16; // below the milliseconds of a hybrid clock

event make_gap_event(std::int64_t clock, const std::string& process, std::string what) {
    return {clock, process, 0, "gap", process, {}, std::move(what)};
}

void add_gaps(const page& from, std::int64_t now_unix_ms, std::vector<event>& out) {
    if (from.events.empty())
        return;
    const event& first = from.events.front();
    const event& last = from.events.back();
    if (from.dropped > 0)
        out.push_back(make_gap_event(first.clock, from.process,
                                     std::to_string(from.dropped) + " earlier events are no longer kept."));
    for (std::size_t i = 1; i < from.events.size(); ++i) {
        const std::int64_t missing = from.events[i].sequence - from.events[i - 1].sequence - 1;
        if (missing > 0)
            out.push_back(make_gap_event(from.events[i].clock, from.process,
                                         std::to_string(missing) + " events are missing."));
    }
    const std::int64_t ahead = unix_ms_of(last.clock) - now_unix_ms;
    if (ahead > max_skew_ms)
        out.push_back(
            make_gap_event(last.clock, from.process, "The clock is " + std::to_string(ahead) + " ms ahead."));
}

} // namespace

std::int64_t unix_ms_of(std::int64_t clock) {
    return clock >> counter_bits;
}

std::optional<page> decode_page(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        page out;
        out.process = parsed.at("process").get<std::string>();
        out.dropped = parsed.value("dropped", std::int64_t{0});
        for (const json& item : parsed.at("events"))
            out.events.push_back({item.at("clock").get<std::int64_t>(), out.process,
                                  item.at("sequence").get<std::int64_t>(), item.value("kind", std::string{}),
                                  item.value("subject", std::string{}), item.value("cause", std::string{}),
                                  item.value("what", std::string{})});
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<event> merge(const std::vector<page>& pages, const std::vector<silent_process>& silent,
                         std::int64_t now_unix_ms) {
    std::vector<event> out;
    for (const page& source : pages) {
        add_gaps(source, now_unix_ms, out);
        out.insert(out.end(), source.events.begin(), source.events.end());
    }
    // A gap is placed before the event at which it was detected.
    std::stable_sort(out.begin(), out.end(), [](const event& a, const event& b) {
        if (a.clock != b.clock)
            return a.clock < b.clock;
        if (a.process != b.process)
            return a.process < b.process;
        return a.sequence < b.sequence;
    });
    const std::int64_t end = out.empty() ? now_unix_ms << counter_bits : out.back().clock;
    for (const silent_process& process : silent)
        out.push_back(
            make_gap_event(end, process.address, "The process does not answer; its events are missing."));
    return out;
}

std::vector<event> follow(const std::vector<event>& all, const std::string& subject) {
    // Follows causes transitively, so that a refusal leads to the decision behind it.
    std::set<std::string> related{subject};
    for (bool grew = true; grew;) {
        grew = false;
        for (const event& candidate : all)
            if (related.contains(candidate.subject) && !candidate.cause.empty())
                grew = related.insert(candidate.cause).second || grew;
    }
    std::vector<event> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out), [&](const event& candidate) {
        return candidate.kind == "gap" || related.contains(candidate.subject) || candidate.cause == subject;
    });
    return out;
}

} // namespace waxwinglb::core::timeline
