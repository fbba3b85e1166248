/// Answers kept by an agent. Each request attempt starts at most once, its answer stays readable from any
/// offset until it is acknowledged or expires, and "not run" is reported only if it is certain.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

namespace waxwinglb::core::answers {

/// One attempt of a request; each retry has its own attempt number.
struct attempt_key {
    std::string request_id;
    int attempt = 0;
    bool operator<(const attempt_key& other) const {
        return std::tie(request_id, attempt) < std::tie(other.request_id, other.attempt);
    }
};

enum class phase {
    waiting,   // accepted, not started
    running,   // started at the target
    finished,  // the answer is complete
    refused,   // ended without an answer
    cancelled, // tombstone: must never start
};

/// Whether the work ran at the target, as far as is known.
enum class run_status { not_run, run, unknown };

/// Why an attempt ended without an answer.
struct refusal {
    int reason = 0;                       // wire code
    run_status ran = run_status::not_run; // as reported to the router
    common::milliseconds retry_after{0};  // 0: a retry is pointless
    std::string detail;                   // message, a sentence
    bool suspect = false;                 // the request was in flight when the target crashed
};

struct answer {
    phase at = phase::waiting;
    std::string body;                                         // from offset 0
    bool body_dropped = false;                                // evicted or acknowledged
    int status = 0;                                           // of the finished answer
    std::vector<std::pair<std::string, std::string>> headers; // of the finished answer
    std::int64_t length = 0;      // bytes of the body received so far, dropped or not
    std::int64_t used_tokens = 0; // prompt and answer
    refusal why;                  // if refused
    common::time_point deadline;  // of the request
    common::time_point ended;     // when its phase became final
};

struct store_options {
    std::size_t max_records = 20'000;           // attempts with a full record
    std::size_t max_body_bytes = 24U << 20U;    // of all kept bodies; above it, finished ones are dropped
    std::size_t max_answer_bytes = 8U << 20U;   // of one answer
    std::size_t max_evicted = 100'000;          // digests of evicted attempts
    std::size_t max_tombstones = 10'000;        // above it, a cancellation can't promise "not run"
    common::milliseconds min_retention{30'000}; // of a finished answer; its deadline may extend it
    common::milliseconds retention{600'000};    // time for which frames of an attempt may still arrive
};

enum class begin_result {
    started,   // new: may run
    duplicate, // known attempt: send the kept answer, never run it again
    cancelled, // tombstone: must not run
    evicted,   // its record was evicted: outcome unknown
    full,      // no record can be evicted for it
};

class store {
public:
    store(store_options options, common::time_point now) : options_(options), started_at_(now) {}

    /// Adds a new attempt in phase `waiting`.
    begin_result begin(const attempt_key& key, common::time_point deadline, common::time_point now);
    void run(const attempt_key& key);                                         // waiting -> running
    bool append(const attempt_key& key, std::string_view data);               // false: answer too large
    void finish(const attempt_key& key, common::time_point now);              // running -> finished
    void refuse(const attempt_key& key, refusal why, common::time_point now); // waiting, running -> refused

    /// Cancels an attempt; returns not_run only if it never started and never will. `sent_to_this_boot`: the
    /// router knows that it sent the attempt to this process start, if at all.
    run_status cancel(const attempt_key& key, bool sent_to_this_boot, common::time_point now);

    void acknowledge(const attempt_key& key); // the body is no longer needed
    void expire(common::time_point now);      // drops bodies and records past their times

    [[nodiscard]] answer* find(const attempt_key& key);
    [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }
    [[nodiscard]] std::size_t records() const { return records_.size(); }
    [[nodiscard]] std::size_t unread(common::time_point now) const; // finished, body kept, deadline ahead

private:
    void set_final(const attempt_key& key, answer& record, phase at, common::time_point now);
    void drop_body(answer& record);
    void shrink_bodies();
    bool make_room(common::time_point now);
    void record_eviction(const attempt_key& key, common::time_point now);
    [[nodiscard]] bool was_evicted(const attempt_key& key) const;

    store_options options_;
    common::time_point started_at_;
    /// Digests of evicted attempts were dropped: until then no unknown attempt is reported as not run.
    common::time_point eviction_history_lost_until_{};
    std::map<attempt_key, answer> records_;
    std::deque<attempt_key> final_order_;        // keys of records in a final phase, oldest first
    std::deque<attempt_key> finished_with_body_; // keys of finished records, oldest first
    std::unordered_set<std::uint64_t> evicted_;
    std::deque<std::pair<common::time_point, std::uint64_t>> eviction_order_;
    std::size_t body_bytes_ = 0;
    std::size_t tombstones_ = 0;
};

} // namespace waxwinglb::core::answers
