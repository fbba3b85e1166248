/// Parts of prompts that crash the targets which begin to answer them, whatever else the prompt holds, and
/// whole requests that do so each time their callers send them again. A whole request counts as a part, named
/// by its fingerprint.
///
/// Every process adds what it sees and merges what others tell, in any order and any number of times. All
/// come to the same verdicts:
/// - a crash is evidence against each shared part of a request whose answer was about to begin there;
/// - a complete answer clears the parts of its prompt, for a part that crashes targets never gets one;
/// - crashes at the same moment count once: many targets that end together have another cause;
/// - crashes that a part with more evidence explains don't count against the parts that came with it.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace waxwinglb::core::quarantine {

using part_id = std::uint64_t;    // hash of the part's id, or fingerprint of a whole request
using target_run = std::uint64_t; // of a part: hash of a target and its start, which crashes once; of a whole
                                  // request: hash of the attempt

struct suspect_options {
    int crashes = 3;                              // at different moments, before a part is blocked
    common::milliseconds settle{600};             // since the first; others may know the part as sound
    common::milliseconds dispute_memory{10'000};  // how long others are told that a part is sound
    common::milliseconds same_moment{50};         // crashes within it of one another count once
    common::milliseconds sound_memory{120'000};   // how long a complete answer clears a part
    common::milliseconds evidence_memory{60'000}; // since the last crash, of a part that is not blocked; less
                                                  // than sound_memory, which it must not outlive
    common::milliseconds blocked_memory{600'000}; // since the last crash, of one that is
    common::milliseconds report_delay{2'000};     // most by which a report's ages may be too low on arrival
    common::milliseconds told_for{60'000};        // since the last crash, of a part that is not blocked
    std::size_t max_told = 40;     // suspects in one round of reports, those at the most crashes
    std::size_t max_suspects = 40; // those at the fewest crashes are dropped first
    std::size_t max_sound = 4'000; // parts known as sound; the oldest are dropped first
    std::size_t max_crashes = 8;   // kept of one part, the latest
};

/// For whole requests: a caller may wait for minutes before it sends one again, and each attempt is a moment
/// of its own.
constexpr suspect_options whole_request_options{
    .settle = common::milliseconds{0},
    .same_moment = common::milliseconds{0},
    .sound_memory = common::milliseconds{660'000},
    .evidence_memory = common::milliseconds{600'000},
    .told_for = common::milliseconds{4'000}, // longer than gateways in contact take to hear of it
    .max_suspects = 400,
};

/// What one process tells others of a part. Times are ages, since clocks differ.
struct part_report {
    part_id part = 0;
    std::vector<std::pair<target_run, common::milliseconds>> crashes; // with their ages
    std::optional<common::milliseconds> sound_age;                    // of the latest complete answer
};

class suspect_parts {
public:
    explicit suspect_parts(suspect_options options = {}) : options_(options) {}

    /// The first part that is blocked; nullopt: the request may run.
    [[nodiscard]] std::optional<part_id> find_blocked(std::span<const part_id> parts,
                                                      common::time_point now) const;
    /// Whether a part was at several crashes and is not known as sound: such a request is not worth a repeat.
    [[nodiscard]] bool suspected(std::span<const part_id> parts, common::time_point now) const;

    /// The latest crash that a part was at; nullopt: none is known.
    [[nodiscard]] std::optional<common::time_point> latest_crash(part_id part) const;

    /// A target ended when it was about to send the first event of a request with these parts.
    void add_crash(std::span<const part_id> parts, target_run target, common::time_point now);
    void add_sound(std::span<const part_id> parts, common::time_point now); // a complete answer
    void merge(const part_report& report, common::time_point now);
    [[nodiscard]] std::vector<part_report> reports(common::time_point now) const;
    void expire(common::time_point now);

private:
    using crash_map = std::map<target_run, common::time_point>;
    [[nodiscard]] bool known_sound(part_id part, common::time_point now) const;
    [[nodiscard]] int count_moments(const crash_map& crashes, const std::set<target_run>& explained) const;
    [[nodiscard]] bool qualifies(part_id part, const crash_map& crashes, common::time_point now) const;
    [[nodiscard]] bool is_blocked(part_id part, common::time_point now) const;
    void add_evidence(part_id part, target_run target, common::time_point at);
    void note_sound(part_id part, common::time_point at);
    [[nodiscard]] std::pair<int, common::time_point> weight_of(const crash_map& crashes) const;
    void shrink(); // to max_suspects
    [[nodiscard]] std::vector<const std::pair<const part_id, crash_map>*>
    suspects_to_tell(common::time_point now) const;

    suspect_options options_;
    std::map<part_id, crash_map> suspects_;                        // with the time of each crash
    std::map<part_id, common::time_point> sound_;                  // latest complete answer
    std::set<std::pair<common::time_point, part_id>> sound_order_; // the same by time, to drop the oldest
    std::map<part_id, common::time_point> disputed_; // known as sound, but others had older evidence then
};

} // namespace waxwinglb::core::quarantine
