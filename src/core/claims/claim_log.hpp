/// Log of the idempotency claims of one control shard, kept in the store under claims/SHARD/head and sealed
/// segments.
///
/// A claim is granted only after a head that contains it is known to be stored. Each head is written
/// conditionally on the version that this log has read, so a key is granted once even if several logs work on
/// the same objects (deposed holders, restarts). If a write is refused or its answer is lost, the log reads
/// the head again and decides the same questions on that content; it recognises a claim that took effect by
/// its request id and attempt.
///
/// An answer that needs no write is given only after a read has shown that the head is unchanged. All
/// questions that wait when a write ends share the next one. When the records in the head exceed
/// `seal_bytes`, they are written into a new segment object, and one update of the head then names the
/// segment and drops the records. A crash between the two leaves a segment that no head names.
#pragma once

#include "core/claims/record.hpp"
#include "core/common/store_position.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglb::core::claims {

constexpr std::size_t batch_bytes = 256U << 10U; // records added by one write

struct claim_options {
    common::milliseconds retention{24LL * 3600 * 1000}; // minimum age of a record before deletion
    common::milliseconds max_wait{2'000};  // a question not decided by then is answered as unavailable
    common::milliseconds retry_after{200}; // pause after a failed call to the store
    std::size_t seal_bytes = 64U << 10U;   // records in the head before they are sealed into a segment
};

enum class step_kind { read_head, read_segment, write_head, create_segment, remove_segment };

/// A call to the store. At most one is in flight, apart from removals.
struct step {
    step_kind kind = step_kind::read_head;
    std::int64_t segment = 0;          // for the segment calls
    common::store_position if_version; // for write_head; revision 0: the head must be absent
    std::string body;                  // for the writes
};

enum class store_result { ok, absent, conflict, failed, unknown };

using ticket = std::uint64_t; // correlates an answer with its question; chosen by the caller

enum class answer_kind {
    granted,        // this request and attempt may run
    existing,       // another request has the key; `record` is its claim
    mismatch,       // as `existing`, and its body differs
    unavailable,    // not decided: the store is unreachable or the question timed out
    outcome_stored, // the outcome is stored or need not be
};

struct answer {
    ticket to = 0;
    answer_kind kind = answer_kind::unavailable;
    claim record;
};

class claim_log {
public:
    explicit claim_log(claim_options options) : options_(options) {}

    // Questions. Their answers come from take_answers().
    void claim_key(ticket from, claim requested, common::duration remaining, common::time_point now);
    void record_outcome(ticket from, claim outcome, common::time_point now);

    /// The next call to carry out; nullopt while a call is in flight or none is due.
    std::optional<step> next_step(common::time_point now, common::unix_time wall);
    // Results of the step in flight. `version` and `body` are those of the object that was read or written.
    void head_read(store_result result, common::store_position version, const std::string& body,
                   common::time_point now);
    void segment_read(store_result result, const std::string& body, common::time_point now);
    void head_written(store_result result, common::store_position version, common::time_point now);
    void segment_created(store_result result, common::time_point now);

    std::vector<answer> take_answers() { return std::exchange(answers_, {}); }
    [[nodiscard]] bool ready() const { return phase_ == phase::ready; }
    [[nodiscard]] bool idle() const { return !call_in_flight_ && questions_.empty(); }
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    enum class phase { unread, reading_segments, ready };
    struct pending_question {
        ticket from = 0;
        bool is_outcome = false;
        claim record;
        common::time_point until{};
    };
    struct batch {
        log_head head; // to be written
        std::map<std::string, claim> changed;
        bool read_only = false;                 // nothing to write; a read checks that the head is unchanged
        std::deque<pending_question> questions; // answered if the write is stored
        std::vector<answer> answers;
        std::vector<std::int64_t> dropped; // segments that the new head no longer names
        std::int64_t decided_unix_ms = 0;
        std::optional<std::map<std::string, claim>> sealed; // records that moved into a segment
    };
    std::optional<step> read_next_segment();
    std::optional<step> seal();
    std::optional<step> write_batch(common::unix_time wall);
    void fill_batch(batch& next, common::unix_time wall);
    void drop_expired(batch& next, common::unix_time wall) const;
    answer decide(batch& next, const pending_question& question, common::unix_time wall) const;
    answer decide_claim(batch& next, const claim& requested, common::unix_time wall) const;
    answer decide_outcome(batch& next, const claim& outcome, common::unix_time wall) const;
    void put(batch& next, claim record, common::unix_time wall) const;
    [[nodiscard]] const claim* find(const batch& next, const std::string& key, common::unix_time wall) const;
    void expire_questions(common::time_point now);
    void deliver_answers(batch& done);
    void reload_head(); // requires a read of the head before the next decision
    void pause_after_failure(common::time_point now);
    void finish_loading();

    claim_options options_;
    phase phase_ = phase::unread;
    bool call_in_flight_ = false;
    bool failing_ = false; // the last call to the store failed or its answer was lost
    common::time_point pause_until_{};
    common::store_position version_; // of head_
    log_head head_;
    std::map<std::string, claim> records_;                    // all records, by key
    std::map<std::int64_t, std::int64_t> segment_kept_until_; // Unix ms, by segment
    std::size_t segments_read_ = 0;
    bool loaded_ = false; // records_ is complete for version_
    std::deque<pending_question> questions_;
    std::optional<batch> batch_;                  // being written
    std::optional<std::int64_t> sealing_segment_; // created or being created, not named in the head yet
    bool segment_stored_ = false;                 // sealing_segment_ is stored
    std::vector<std::int64_t> unnamed_segments_;  // numbers in use by segments that the head does not name
    std::vector<std::int64_t> segments_to_remove_;
    std::vector<answer> answers_;
};

} // namespace waxwinglb::core::claims
