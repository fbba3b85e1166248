#include "edge/timeline.hpp"

#include "edge/clock.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::edge {

void timeline_ring::add(event_kind kind, std::string subject, std::string what, std::string cause) {
    const std::int64_t clock = hybrid_clock::process().tick();
    const std::scoped_lock hold{mutex_};
    events_.push_back({clock, ++last_sequence_, kind, std::move(subject), std::move(cause), std::move(what)});
    if (events_.size() <= capacity_)
        return;
    events_.pop_front();
    ++dropped_;
}

std::vector<timeline_event> timeline_ring::since(std::int64_t sequence) const {
    const std::scoped_lock hold{mutex_};
    std::vector<timeline_event> out;
    for (const timeline_event& event : events_)
        if (event.sequence > sequence)
            out.push_back(event);
    return out;
}

std::int64_t timeline_ring::dropped() const {
    const std::scoped_lock hold{mutex_};
    return dropped_;
}

const char* name_of(event_kind kind) {
    switch (kind) {
    case event_kind::request:
        return "request";
    case event_kind::attempt:
        return "attempt";
    case event_kind::load:
        return "load";
    case event_kind::lease:
        return "lease";
    case event_kind::grant:
        return "grant";
    case event_kind::configuration:
        return "configuration";
    case event_kind::fault:
        return "fault";
    }
    return "unknown";
}

std::string to_json(const std::string& process, const timeline_ring& ring, std::int64_t since) {
    nlohmann::json events = nlohmann::json::array();
    for (const timeline_event& event : ring.since(since))
        events.push_back({{"clock", event.clock},
                          {"sequence", event.sequence},
                          {"kind", name_of(event.kind)},
                          {"subject", event.subject},
                          {"cause", event.cause},
                          {"what", event.what}});
    return nlohmann::json{{"process", process}, {"dropped", ring.dropped()}, {"events", std::move(events)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace waxwinglb::edge
