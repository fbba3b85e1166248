/// Trace of one request from the decision logs of many processes: the decisions about it, related events of
/// the fleet in that time, and the cause of its end as a sentence.
#pragma once

#include "core/timeline/merge.hpp"

#include <istream>
#include <string>
#include <vector>

namespace waxwinglb::core::timeline {

/// A line of a decision log. Text before the first brace of the line is skipped.
struct decision {
    std::int64_t unix_ms = 0;
    std::string process;
    std::string event;             // one of the vocabulary of edge/decision_log.hpp
    std::string subject;           // request id, target, …
    std::string reason;            // empty if the line has none
    std::string target;            // empty if the line has none
    std::string model;             // empty if the line has none
    std::int64_t silent_ms = 0;    // time without data from the target before the request's end
    std::int64_t orders_in_ms = 0; // lease_taken: time until the new holder gives orders
    std::string inputs;            // all fields but the first four, as "name=value name=value"
};

/// Reads all decisions in the input, which may mix lines of several processes, and sorts them by time.
[[nodiscard]] std::vector<decision> read_decisions(std::istream& from);

/// The lines that concern a request: its own; orders to and changes of the targets and models that it used;
/// while it was open, leases, store and peers lost or regained, configurations, and data centres taken out;
/// and a lease taken earlier whose new holder gave no orders yet.
[[nodiscard]] std::vector<decision> trace_request(const std::vector<decision>& all,
                                                  const std::string& request);

/// Why the request ended as it did; says so if its end isn't in the trace.
[[nodiscard]] std::string cause_of(const std::vector<decision>& trace, const std::string& request);

/// Converts the decisions to time line events, for the writers of time lines.
[[nodiscard]] std::vector<event> as_events(const std::vector<decision>& trace);

} // namespace waxwinglb::core::timeline
