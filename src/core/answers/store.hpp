/// Answers that an agent keeps: each request attempt starts at most once, its answer stays readable from any
/// offset until acknowledged or out of time, and "not run" is said only where it is certain.
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

/// One attempt of a request; a retry has another attempt number.
struct attempt_key {
    std::string request_id;
    int attempt = 0;
    bool operator<(const attempt_key& other) const {
        return std::tie(request_id, attempt) < std::tie(other.request_id, other.attempt);
    }
};

enum class phase {
    waiting,   // taken on, not started
    running,   // started at the target
    finished,  // whole answer is here
    refused,   // ended without an answer
    cancelled, // tombstone: must never start
};

/// What is known of whether the work ran at the target.
enum class run_status { not_run, run, unknown };

/// Why an attempt ended without an answer.
struct refusal {
    int reason = 0;                       // wire code
    run_status ran = run_status::not_run; // as told to the router
    common::milliseconds retry_after{0};  // 0: coming back makes no sense
    std::string detail;                   // a sentence
    bool suspect = false;                 // was in flight when the target crashed
};

struct answer {
    phase at = phase::waiting;
    std::string body;                                         // from offset 0
    bool body_dropped = false;                                // evicted or acknowledged
    int status = 0;                                           // of the finished answer
    std::vector<std::pair<std::string, std::string>> headers; // of the finished answer
    std::int64_t length = 0;                                  // bytes of the whole body so far
    std::int64_t used_tokens = 0;                             // prompt and answer
    refusal why;                                              // if refused
    common::time_point deadline;                              // of the request
    common::time_point ended;                                 // when it became final
};

struct store_options {
    std::size_t max_records = 20'000;           // attempts known in full
    std::size_t max_body_bytes = 24U << 20U;    // of all kept bodies; finished ones are dropped beyond
    std::size_t max_answer_bytes = 8U << 20U;   // of one answer
    std::size_t max_forgotten = 100'000;        // digests of evicted attempts
    std::size_t max_tombstones = 10'000;        // beyond, a cancellation can't promise "not run"
    common::milliseconds keep_at_least{30'000}; // a finished answer stays for this or until its deadline
    common::milliseconds retention{600'000};    // how long an attempt's frames may still arrive
};

enum class begin_result {
    started,   // new: may run
    duplicate, // known attempt: send what is kept, never run it again
    cancelled, // tombstone
    evicted,   // known once, evicted: outcome unknown
    full,      // no room for another record
};

class store {
public:
    store(store_options options, common::time_point now) : options_(options), born_(now) {}

    /// Takes a new attempt on in phase waiting.
    begin_result begin(const attempt_key& key, common::time_point deadline, common::time_point now);
    void run(const attempt_key& key);                                         // waiting -> running
    bool append(const attempt_key& key, std::string_view data);               // false: answer too large
    void finish(const attempt_key& key, common::time_point now);              // running -> finished
    void refuse(const attempt_key& key, refusal why, common::time_point now); // waiting, running -> refused

    /// Cancels: not_run only if the attempt never started and never will. `sent_to_this_boot`: the router
    /// knows that it sent the attempt to this very process, or not at all.
    run_status cancel(const attempt_key& key, bool sent_to_this_boot, common::time_point now);

    void acknowledge(const attempt_key& key); // the body is no longer needed
    void expire(common::time_point now);      // drops what is out of time

    [[nodiscard]] answer* find(const attempt_key& key);
    [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }
    [[nodiscard]] std::size_t records() const { return records_.size(); }
    [[nodiscard]] std::size_t unread(common::time_point now) const; // finished answers still kept

private:
    void end(const attempt_key& key, answer& one, phase at, common::time_point now);
    void drop_body(answer& one);
    void shrink_bodies();
    bool make_room(common::time_point now);
    void forget(const attempt_key& key, common::time_point now);
    [[nodiscard]] bool was_forgotten(const attempt_key& key) const;

    store_options options_;
    common::time_point born_;
    common::time_point
        blind_until_{}; // forgotten attempts were themselves evicted: vouch for nothing until then
    std::map<attempt_key, answer> records_;
    std::deque<attempt_key> ended_;     // oldest first; of records in a final phase
    std::deque<attempt_key> with_body_; // oldest first; of finished records
    std::unordered_set<std::uint64_t> forgotten_;
    std::deque<std::pair<common::time_point, std::uint64_t>> forgotten_order_;
    std::size_t body_bytes_ = 0;
    std::size_t tombstones_ = 0;
};

} // namespace waxwinglb::core::answers
