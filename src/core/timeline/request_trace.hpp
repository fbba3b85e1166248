/// One request's story out of the decision logs of many processes: what was decided about it, what the fleet
/// did meanwhile that bears on it, and the cause of its end in a sentence.
#pragma once

#include "core/timeline/merge.hpp"

#include <istream>
#include <string>
#include <vector>

namespace waxwinglb::core::timeline {

/// A line of a decision log. Other text before the first brace of a line is passed over.
struct decision {
    std::int64_t unix_ms = 0;
    std::string process;
    std::string event;             // one of the vocabulary of edge/decision_log.hpp
    std::string subject;           // request id, target, …
    std::string reason;            // empty if the line has none
    std::string target;            // that the line names; empty: none
    std::string model;             // that the line names; empty: none
    std::int64_t silent_ms = 0;    // that its target had sent nothing at the request's end
    std::int64_t orders_in_ms = 0; // lease_taken: no order is given for so long
    std::string inputs;            // all other fields, as "name=value name=value"
};

/// Reads all lines that are decisions, from several processes in any mix; they are sorted by time.
[[nodiscard]] std::vector<decision> read_decisions(std::istream& from);

/// What concerns the request: its own lines; orders and changes of the targets and of the model that it used;
/// and, while it was open, leases, store and peers lost or regained, configurations, data centres taken out;
/// a lease taken before, if its new holder still gave no orders then.
[[nodiscard]] std::vector<decision> trace_request(const std::vector<decision>& all,
                                                  const std::string& request);

/// Why the request ended as it did; says so if its end isn't in the story.
[[nodiscard]] std::string cause_of(const std::vector<decision>& story, const std::string& request);

/// As events of a time line, for its writers.
[[nodiscard]] std::vector<event> as_events(const std::vector<decision>& story);

} // namespace waxwinglb::core::timeline
