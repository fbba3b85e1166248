/// Accepts changes: judges them against the newest head and writes them with one conditional update.
///
/// Changes that arrive while a write is in progress are written together as the next batch. If the answer to
/// a write is lost, the head is read back: its `batches` hold the nonce of each acceptor's last batch.
/// Callers wait for this for at most `resolve_limit`; then they are answered that the outcome is unknown.
#pragma once

#include "edge/timeline.hpp"
#include "programs/admin/head_copy.hpp"
#include "programs/admin/settings.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

constexpr core::common::milliseconds resolve_limit{2'000};     // longest wait of a caller after a lost answer
constexpr core::common::milliseconds resolve_retry_after{200}; // pause between attempts to resolve it
constexpr int max_conflicts = 50; // version conflicts of one batch before it is refused

enum class submit_outcome {
    accepted,    // in the store
    judged,      // nothing written: refused, unchanged, or a dry run; see the verdicts
    too_large,   // would not fit into one batch
    unavailable, // the store is unreachable: not accepted
    unconfirmed, // not registered, or not acknowledged by the other acceptors yet: not accepted
    unknown,     // the store did not answer whether it applied the change
};

struct submit_result {
    submit_outcome outcome = submit_outcome::unavailable;
    std::vector<core::acceptance::verdict> verdicts; // one for each proposal
    std::int64_t revision = 0;                       // of the last change, or the newest one of the copy
};

/// Changes that are accepted together or not at all.
struct submission {
    std::vector<core::acceptance::proposal> proposals;
    core::acceptance::actor by;
    std::int64_t unix_ms = 0;
    bool dry_run = false;
    bool changes_acceptors = false; // this process changes the list of acceptors
    std::function<void(submit_result&&)> on_result;
};

class acceptor {
public:
    acceptor(const admin_settings& settings, std::int64_t boot, store& objects,
             edge::timeline_ring& timeline);

    void tick(core::common::time_point now);
    void handle(const store_event& event, core::common::time_point now);
    void submit(submission submitted, core::common::time_point now);

    [[nodiscard]] const head_copy& head() const { return head_; }
    [[nodiscard]] bool registered() const; // the list of acceptors has this process with this boot
    void set_confirmed(bool confirmed) { confirmed_ = confirmed; }
    [[nodiscard]] bool accepting() const { return registered() && confirmed_; }
    [[nodiscard]] bool is_idle() const { return step_ == step::idle && queue_.empty(); }

    /// Newest revision that is known or possibly accepted; stewards compare their copies with it.
    [[nodiscard]] std::int64_t possible_revision() const;
    [[nodiscard]] std::optional<core::common::time_point> unreachable_since() const {
        return unreachable_since_;
    }

private:
    enum class step { idle, reading, waiting_for_snapshot, writing_parts, writing_head, resolving_outcome };
    struct judged_submission {
        submission submitted;
        std::vector<core::acceptance::verdict> verdicts;
        std::int64_t revision = 0; // of its last change
    };
    struct batch {
        std::vector<judged_submission> submissions;
        core::acceptance::head_document document;               // the new head
        std::int64_t nonce = 0;                                 // identifies the batch in `batches`
        core::common::store_position replaced_version;          // object version of the head to replace
        std::vector<std::pair<std::string, std::string>> parts; // objects that are written before the head
        std::size_t next_part = 0;
        core::common::time_point started_at{};
        bool maybe_written = false;    // the answer to a write is missing
        bool callers_answered = false; // with submit_outcome::unknown
    };

    void read_head();
    void note_contact(const edge::store_answer& answer, core::common::time_point now);
    void start_next_batch(core::common::time_point now);
    void judge(core::common::time_point now);
    bool judge_submission(judged_submission& judged, core::acceptance::accepted_config& merged,
                          std::vector<core::acceptance::accepted_entry>& entries);
    void compact(batch& new_batch) const;
    void write_next(core::common::time_point now);
    void on_part_written(const edge::store_answer& answer, core::common::time_point now);
    void on_head_written(const edge::store_answer& answer, core::common::time_point now);
    void on_head_read(const edge::store_answer& answer, core::common::time_point now);
    void resolve_outcome(const edge::store_answer& answer, core::common::time_point now);
    void finish(core::common::time_point now);
    void retry_batch(core::common::time_point now);
    void fail(submit_outcome outcome, core::common::time_point now);
    void refuse_queue(submit_outcome outcome);
    void answer(submission& submitted, submit_outcome outcome,
                std::vector<core::acceptance::verdict> verdicts, std::int64_t revision);
    void remove_old_snapshots(const edge::store_answer& listed);

    const admin_settings& settings_;
    std::int64_t boot_;
    store& store_;
    edge::timeline_ring& timeline_;
    edge::logger log_ = edge::make_logger("admin.acceptor");
    head_copy head_;
    step step_ = step::idle;
    std::uint64_t awaited_call_ = 0;               // number of the call that the current step waits for
    core::common::store_position version_at_read_; // object version of head_ when read_head() was called
    core::common::time_point retry_at_{};
    std::deque<submission> queue_;
    std::optional<batch> batch_;
    int conflicts_ = 0;
    bool confirmed_ = false;         // every other acceptor has acknowledged this one's registration
    std::uint64_t cleanup_call_ = 0; // number of the list call before a cleanup; 0: none
    std::optional<core::common::time_point> unreachable_since_;
};

} // namespace waxwinglb::programs::admin
