/// Accepts changes: judges them against the newest head and writes them by one conditional update.
///
/// Changes that arrive while a write is under way are written together. An answer that was lost is settled by
/// reading the head back: its `batches` name the last batch of each acceptor. Until then the callers wait,
/// but no longer than `settle_limit`; after it they are told that the outcome is unknown.
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

constexpr core::common::milliseconds settle_limit{2'000};     // callers wait no longer for a lost answer
constexpr core::common::milliseconds settle_retry_after{200}; // pause between attempts to settle it
constexpr int max_conflicts = 50;                             // lost races of one batch before it is refused

enum class submit_outcome {
    accepted,    // in the store
    judged,      // nothing written: refused, unchanged, or a dry run; see the verdicts
    too_large,   // would not fit into one batch
    unavailable, // the store is out of reach: not accepted
    unconfirmed, // this process doesn't stand in the list of acceptors yet: not accepted
    unknown,     // the store did not say whether it took the change
};

struct submit_result {
    submit_outcome outcome = submit_outcome::unavailable;
    std::vector<core::acceptance::verdict> verdicts; // one for each proposal
    std::int64_t revision = 0;                       // of its last change, or the newest one
};

/// Changes that are accepted together or not at all.
struct submission {
    std::vector<core::acceptance::proposal> proposals;
    core::acceptance::actor by;
    std::int64_t unix_ms = 0;
    bool dry_run = false;
    bool registers = false; // a change of the list of acceptors by this process itself
    std::function<void(submit_result&&)> done;
};

class acceptor {
public:
    acceptor(const admin_settings& settings, std::int64_t boot, store& objects,
             edge::timeline_ring& timeline);

    void tick(core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);
    void submit(submission wanted, core::common::time_point now);

    [[nodiscard]] const head_copy& head() const { return head_; }
    [[nodiscard]] bool registered() const; // stands in the list of acceptors with this boot
    void confirm(bool known_to_others) { confirmed_ = known_to_others; }
    [[nodiscard]] bool accepting() const { return registered() && confirmed_; }
    [[nodiscard]] bool idle() const { return step_ == step::idle && queue_.empty(); }

    /// Newest revision known or possibly accepted; what stewards compare their copies with.
    [[nodiscard]] std::int64_t possible_revision() const;
    [[nodiscard]] std::optional<core::common::time_point> unreachable_since() const {
        return unreachable_since_;
    }

private:
    enum class step { idle, reading, waiting_for_snapshot, writing_parts, writing_head, settling };
    struct judged_submission {
        submission wanted;
        std::vector<core::acceptance::verdict> verdicts;
        std::int64_t revision = 0; // of its last change
    };
    struct batch {
        std::vector<judged_submission> submissions;
        core::acceptance::head_document document;               // as it is to be
        std::int64_t nonce = 0;                                 // names it in `batches`
        std::int64_t over_version = 0;                          // of the head that it replaces
        std::vector<std::pair<std::string, std::string>> parts; // objects written first
        std::size_t next_part = 0;
        core::common::time_point begun{};
        bool maybe_written = false; // a write was sent whose answer is missing
        bool callers_told = false;  // that the outcome is unknown
    };

    void read_head();
    void note_contact(const edge::store_answer& answer, core::common::time_point now);
    void pump(core::common::time_point now);
    void judge(core::common::time_point now);
    bool judge_one(judged_submission& one, core::acceptance::accepted_config& onto,
                   std::vector<core::acceptance::accepted_entry>& entries);
    void compact(batch& into) const;
    void write_next(core::common::time_point now);
    void part_written(const edge::store_answer& answer, core::common::time_point now);
    void head_written(const edge::store_answer& answer, core::common::time_point now);
    void head_read(const edge::store_answer& answer, core::common::time_point now);
    void settle(const edge::store_answer& answer, core::common::time_point now);
    void finish(core::common::time_point now);
    void judge_again(core::common::time_point now);
    void fail(submit_outcome outcome, core::common::time_point now);
    void refuse_queue(submit_outcome outcome);
    void answer(submission& wanted, submit_outcome outcome, std::vector<core::acceptance::verdict> verdicts,
                std::int64_t revision);
    void remove_old_snapshots(const edge::store_answer& listed);

    const admin_settings& settings_;
    std::int64_t boot_;
    store& store_;
    edge::timeline_ring& timeline_;
    edge::logger log_ = edge::make_logger("admin.acceptor");
    head_copy head_;
    step step_ = step::idle;
    std::uint64_t awaited_ = 0; // number of the call whose answer moves the step on
    std::int64_t read_at_ = 0;  // the copy's object version when the head was read
    core::common::time_point retry_at_{};
    std::deque<submission> queue_;
    std::optional<batch> batch_;
    int conflicts_ = 0;
    bool confirmed_ = false;    // every other acceptor has seen this one's registration
    std::uint64_t cleanup_ = 0; // number of the list call; 0: none
    std::optional<core::common::time_point> unreachable_since_;
};

} // namespace waxwinglb::programs::admin
