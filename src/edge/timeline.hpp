/// Bounded buffer of the typed events of one process, which the timeline across all processes is built from.
/// API keys and request bodies must never be added.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace waxwinglb::edge {

constexpr std::size_t timeline_capacity = 8'192; // events kept; older ones are dropped and counted

enum class event_kind { request, attempt, load, lease, grant, configuration, fault };

struct timeline_event {
    std::int64_t clock = 0;    // hybrid logical clock
    std::int64_t sequence = 0; // rises by one within a process; a jump means lost events
    event_kind kind = event_kind::request;
    std::string subject; // request id, "service/model", customer, shard or revision
    std::string cause;   // request id, decision or revision that caused the event; may be empty
    std::string what;    // short sentence
};

class timeline_ring {
public:
    explicit timeline_ring(std::size_t capacity) : capacity_(capacity) {}
    void add(event_kind kind, std::string subject, std::string what, std::string cause = {});
    [[nodiscard]] std::vector<timeline_event> since(std::int64_t sequence) const; // events after `sequence`
    [[nodiscard]] std::int64_t dropped() const; // count of events no longer kept

private:
    mutable std::mutex mutex_;
    std::deque<timeline_event> events_;
    std::size_t capacity_;
    std::int64_t last_sequence_ = 0;
    std::int64_t dropped_ = 0;
};

[[nodiscard]] const char* name_of(event_kind kind);

/// Returns {"process":…, "dropped":…, "events":[…]}, as served at /timeline?since=SEQUENCE.
[[nodiscard]] std::string to_json(const std::string& process, const timeline_ring& ring, std::int64_t since);

} // namespace waxwinglb::edge
