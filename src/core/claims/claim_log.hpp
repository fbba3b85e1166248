/// The claims of one control shard, decided by conditional updates of claims/SHARD/head.
///
/// A claim is granted only once a head that holds it is known to be stored, and each head is written against
/// the version whose content this log knows. So of any number of logs over the same objects (deposed holders,
/// restarts) each grant is the only one for its key. A write whose answer is lost, or that is refused, is
/// settled by reading the head again and deciding the same questions on what is found there: a claim that
/// took effect is recognised by its request id and attempt.
///
/// An answer that needs no write is given only after a read has shown that the head is still the known one.
/// All questions that wait when a write ends go into the next one. When the head grows past `seal_bytes`,
/// its records are written into a new segment object, and one update of the head then names the segment and
/// drops the records; a crash between the two leaves a segment that no head names.
#pragma once

#include "core/claims/record.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglb::core::claims {

constexpr std::size_t batch_bytes = 256U << 10U; // of records added by one write

struct claim_options {
    common::milliseconds retention{24LL * 3600 * 1000}; // before a record may be deleted
    common::milliseconds longest_wait{2'000};           // a question that isn't settled by then is refused
    common::milliseconds retry_after{200};              // pause after a call that the store didn't answer
    std::size_t seal_bytes = 64U << 10U;                // of records in the head, then sealed into a segment
};

enum class step_kind { read_head, read_segment, write_head, create_segment, remove_segment };

/// A call to the store; at most one is under way, but for removals.
struct step {
    step_kind kind = step_kind::read_head;
    std::int64_t segment = 0;    // of the segment calls
    std::int64_t if_version = 0; // of write_head; 0: the head must be absent
    std::string body;            // of the writes
};

enum class store_result { ok, absent, conflict, failed, unknown };

using ticket = std::uint64_t; // names a question to its asker

enum class answer_kind {
    granted,        // this request and attempt may run
    existing,       // another one has the key; `record` says what is known of it
    mismatch,       // as existing, and the body is another one
    unavailable,    // not decided: the store can't be used, or the asker's time is over
    outcome_stored, // an outcome is stored, or needs no storing
};

struct answer {
    ticket to = 0;
    answer_kind kind = answer_kind::unavailable;
    claim record;
};

class claim_log {
public:
    explicit claim_log(claim_options options) : options_(options) {}

    // Questions; answers come from take_answers().
    void claim_key(ticket from, claim wanted, common::duration remaining, common::time_point now);
    void record_outcome(ticket from, claim outcome, common::time_point now);

    /// The next call to carry out; nothing while one is under way or none is due.
    std::optional<step> next_step(common::time_point now, common::unix_time wall);
    /// What the store said to the step that is under way; `version` and `body` for reads and writes.
    void head_read(store_result result, std::int64_t version, const std::string& body,
                   common::time_point now);
    void segment_read(store_result result, const std::string& body, common::time_point now);
    void head_written(store_result result, std::int64_t version, common::time_point now);
    void segment_created(store_result result, common::time_point now);

    std::vector<answer> take_answers() { return std::exchange(answers_, {}); }
    [[nodiscard]] bool ready() const { return phase_ == phase::ready; }
    [[nodiscard]] bool idle() const { return !under_way_ && questions_.empty(); }
    [[nodiscard]] std::size_t size() const { return known_.size(); }

private:
    enum class phase { unread, reading_segments, ready };
    struct question {
        ticket from = 0;
        bool is_outcome = false;
        claim record;
        common::time_point until{};
    };
    struct batch {
        log_head head; // to be written
        std::map<std::string, claim> changed;
        bool confirming = false;        // nothing to write: a read shows whether the answers still hold
        std::deque<question> questions; // answered if the write is stored
        std::vector<answer> answers;
        std::vector<std::int64_t> dropped; // segments that the new head no longer names
        std::int64_t decided_unix_ms = 0;
        std::optional<std::map<std::string, claim>> sealed; // records that moved into a segment
    };
    std::optional<step> read_next_segment();
    std::optional<step> seal();
    std::optional<step> write_batch(common::unix_time wall);
    void fill(batch& next, common::unix_time wall);
    void drop_expired(batch& next, common::unix_time wall) const;
    answer decide(batch& next, const question& one, common::unix_time wall) const;
    answer decide_claim(batch& next, const claim& wanted, common::unix_time wall) const;
    answer decide_outcome(batch& next, const claim& outcome, common::unix_time wall) const;
    void put(batch& next, claim record, common::unix_time wall) const;
    [[nodiscard]] const claim* find(const batch& next, const std::string& key, common::unix_time wall) const;
    void refuse_overdue(common::time_point now);
    void give_answers(batch& done);
    void read_again(); // before anything else is decided
    void store_failed(common::time_point now);
    void finish_loading();

    claim_options options_;
    phase phase_ = phase::unread;
    bool under_way_ = false;
    bool failing_ = false; // the last call wasn't answered
    common::time_point pause_until_{};
    std::int64_t version_ = 0; // of head_
    log_head head_;
    std::map<std::string, claim> known_;                      // all records, by key
    std::map<std::int64_t, std::int64_t> segment_kept_until_; // Unix ms, by segment
    std::size_t segments_read_ = 0;
    bool loaded_ = false; // known_ is complete for version_
    std::deque<question> questions_;
    std::optional<batch> batch_;          // being written
    std::optional<std::int64_t> sealing_; // segment being created, or created and to be named
    bool sealed_ready_ = false;           // that segment is stored
    std::vector<std::int64_t> skipped_;   // numbers taken by segments that no head names
    std::vector<std::int64_t> removals_;  // segments to delete
    std::vector<answer> answers_;
};

} // namespace waxwinglb::core::claims
