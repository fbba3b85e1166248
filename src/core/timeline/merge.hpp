/// Merges the time lines of many processes in the order of their hybrid logical clocks and marks gaps.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::timeline {

constexpr std::int64_t max_skew_ms = 1'000; // a clock further ahead of the reader's is marked

struct event {
    std::int64_t clock = 0; // hybrid logical clock
    std::string process;
    std::int64_t sequence = 0; // within the process
    std::string kind; // request, attempt, load, lease, grant, configuration, fault; gap: added by merge()
    std::string subject;
    std::string cause; // id of the event's cause; may be empty
    std::string what;
};

/// The /timeline page of one process. decode_page returns nullopt if the text is malformed.
struct page {
    std::string process;
    std::int64_t dropped = 0; // events that its ring buffer no longer held
    std::vector<event> events;
};
[[nodiscard]] std::optional<page> decode_page(std::string_view text);

/// A process whose page could not be fetched.
struct silent_process {
    std::string address;
};

/// All events in order. Dropped events, jumps in the sequence, processes that did not answer, and clocks
/// ahead of `now_unix_ms` by more than max_skew_ms become events of kind "gap".
[[nodiscard]] std::vector<event> merge(const std::vector<page>& pages,
                                       const std::vector<silent_process>& silent, std::int64_t now_unix_ms);

/// The events about `subject`, the causes they name, and the events that name `subject` as cause. Gaps are
/// kept.
[[nodiscard]] std::vector<event> follow(const std::vector<event>& all, const std::string& subject);

[[nodiscard]] std::int64_t unix_ms_of(std::int64_t clock); // physical part of a hybrid clock

} // namespace waxwinglb::core::timeline
