#include "programs/admin/acceptor.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>

namespace waxwinglb::programs::admin {
namespace {

using core::acceptance::accepted_config;
using core::acceptance::accepted_entry;
using core::acceptance::verdict;
using core::acceptance::verdict_kind;
using core::common::time_point;
using edge::store_outcome;

std::int64_t make_nonce() {
    std::int64_t out = 0;
    randombytes_buf(&out, sizeof out);
    return out & INT64_MAX;
}

bool is_refusal(const verdict& result) {
    return result.kind != verdict_kind::accepted && result.kind != verdict_kind::unchanged &&
           result.kind != verdict_kind::repeated;
}

std::size_t size_of_submission(const submission& submitted) {
    std::size_t out = 0;
    for (const auto& proposal : submitted.proposals)
        out += proposal.key.size() + proposal.value.size();
    return out;
}

/// BASE of config/snapshot/BASE/PART; 0 if the key has another form.
std::int64_t snapshot_base_of(const std::string& key) {
    constexpr std::string_view prefix = "config/snapshot/";
    return key.starts_with(prefix) ? std::strtoll(key.c_str() + prefix.size(), nullptr, 10) : 0;
}

} // namespace

acceptor::acceptor(const admin_settings& settings, std::int64_t boot, store& objects,
                   edge::timeline_ring& timeline)
    : settings_(settings), boot_(boot), store_(objects), timeline_(timeline), head_(objects) {}

bool acceptor::registered() const {
    const accepted_entry* own = head_.entries().find("acceptor/" + settings_.vm);
    if (own == nullptr)
        return false;
    return nlohmann::json::parse(own->change.value).value("boot", std::int64_t{0}) == boot_;
}

std::int64_t acceptor::possible_revision() const {
    const bool may_be_accepted = batch_ && (step_ == step::writing_head || batch_->maybe_written);
    return std::max(head_.entries().revision(), may_be_accepted ? batch_->document.revision : 0);
}

void acceptor::submit(submission submitted, time_point now) {
    if (unreachable_since_)
        return answer(submitted, submit_outcome::unavailable, {}, 0);
    queue_.push_back(std::move(submitted));
    start_next_batch(now);
}

void acceptor::tick(time_point now) {
    head_.tick(now);
    if (step_ == step::resolving_outcome && awaited_call_ == 0 && now >= retry_at_)
        read_head();
    if (step_ == step::resolving_outcome && !batch_->callers_answered &&
        now - batch_->started_at > resolve_limit) {
        batch_->callers_answered = true;
        for (judged_submission& judged : batch_->submissions)
            answer(judged.submitted, submit_outcome::unknown, judged.verdicts, 0);
    }
    start_next_batch(now);
}

void acceptor::handle(const store_event& event, time_point now) {
    note_contact(event.answer, now);
    switch (event.call) {
    case store_call::watch_head:
    case store_call::read_part:
        head_.handle(event, now);
        if (step_ == step::waiting_for_snapshot && !head_.fetching())
            retry_batch(now);
        return;
    case store_call::list_acks:
    case store_call::read_ack:
    case store_call::write_ack:
    case store_call::read_audit:
    case store_call::list_vms:
    case store_call::remove_part:
        if (event.number == cleanup_call_)
            remove_old_snapshots(event.answer);
        return;
    case store_call::read_head:
    case store_call::write_part:
    case store_call::write_head:
        break;
    }
    if (event.number != awaited_call_)
        return;
    awaited_call_ = 0;
    if (event.call == store_call::write_part)
        on_part_written(event.answer, now);
    else if (event.call == store_call::write_head)
        on_head_written(event.answer, now);
    else if (step_ == step::resolving_outcome)
        resolve_outcome(event.answer, now);
    else
        on_head_read(event.answer, now);
}

void acceptor::read_head() {
    version_at_read_ = head_.version();
    awaited_call_ = store_.read(store_call::read_head, core::acceptance::head_key());
}

void acceptor::note_contact(const edge::store_answer& answer, time_point now) {
    if (answer.store_answered()) {
        if (unreachable_since_)
            timeline_.add(edge::event_kind::configuration, "store", "The store answers again.");
        unreachable_since_.reset();
        return;
    }
    if (unreachable_since_)
        return;
    unreachable_since_ = now;
    log_->warn("The store does not answer: {}.", core::common::describe(answer.why));
    timeline_.add(edge::event_kind::fault, "store", "The store does not answer.");
}

void acceptor::start_next_batch(time_point now) {
    if (step_ != step::idle || queue_.empty())
        return;
    (void)now;
    conflicts_ = 0;
    step_ = step::reading;
    read_head();
}

void acceptor::on_head_read(const edge::store_answer& answer, time_point now) {
    if (answer.outcome != store_outcome::ok && answer.outcome != store_outcome::absent)
        return fail(submit_outcome::unavailable, now);
    if (head_.apply_answer(answer, version_at_read_))
        return judge(now);
    if (!head_.fetching())
        return fail(submit_outcome::unavailable, now);
    step_ = step::waiting_for_snapshot;
}

void acceptor::retry_batch(time_point now) {
    (void)now;
    if (batch_) {
        for (auto i = batch_->submissions.rbegin(); i != batch_->submissions.rend(); ++i)
            queue_.push_front(std::move(i->submitted));
        batch_.reset();
    }
    if (++conflicts_ > max_conflicts || queue_.empty()) {
        refuse_queue(submit_outcome::unavailable);
        step_ = step::idle;
        return;
    }
    step_ = step::reading;
    read_head();
}

void acceptor::judge(time_point now) {
    batch new_batch;
    new_batch.started_at = now;
    new_batch.replaced_version = head_.version();
    new_batch.nonce = make_nonce();
    accepted_config merged = head_.entries();
    std::vector<accepted_entry> entries;
    std::size_t size = 0;
    while (!queue_.empty()) {
        const std::size_t submission_size = size_of_submission(queue_.front());
        if (submission_size <= core::acceptance::max_batch_bytes &&
            size + submission_size > core::acceptance::max_batch_bytes)
            break; // goes into the next batch
        judged_submission judged{std::move(queue_.front()), {}, 0};
        queue_.pop_front();
        if (submission_size > core::acceptance::max_batch_bytes) {
            answer(judged.submitted, submit_outcome::too_large, {}, 0);
            continue;
        }
        if (!judge_submission(judged, merged, entries))
            continue;
        size += submission_size;
        new_batch.submissions.push_back(std::move(judged));
    }
    if (entries.empty()) {
        step_ = step::idle;
        return start_next_batch(now);
    }
    new_batch.document = head_.document();
    if (core::acceptance::needs_compaction(new_batch.document))
        compact(new_batch);
    new_batch.document.entries.insert(new_batch.document.entries.end(), entries.begin(), entries.end());
    new_batch.document.revision = merged.revision();
    std::erase_if(new_batch.document.batches,
                  [&merged](const auto& known) { return merged.find("acceptor/" + known.first) == nullptr; });
    new_batch.document.batches[settings_.vm] = new_batch.nonce;
    batch_ = std::move(new_batch);
    write_next(now);
}

/// Returns true if the submission has entries to write; otherwise it has been answered.
bool acceptor::judge_submission(judged_submission& judged, accepted_config& merged,
                                std::vector<accepted_entry>& entries) {
    if (!judged.submitted.changes_acceptors && !judged.submitted.dry_run && !accepting()) {
        answer(judged.submitted, submit_outcome::unconfirmed, {}, 0);
        return false;
    }
    accepted_config trial = merged;
    std::vector<accepted_entry> accepted;
    for (const auto& proposal : judged.submitted.proposals) {
        judged.verdicts.push_back(trial.judge(proposal, judged.submitted.by));
        const verdict& result = judged.verdicts.back();
        if (result.kind != verdict_kind::accepted)
            continue;
        accepted.push_back({{trial.revision() + 1, proposal.key, result.value},
                            {judged.submitted.by.name, judged.submitted.by.team, judged.submitted.unix_ms,
                             proposal.creation}});
        trial.apply(accepted.back());
    }
    const bool refused = std::any_of(judged.verdicts.begin(), judged.verdicts.end(), &is_refusal);
    if (refused || judged.submitted.dry_run || accepted.empty()) {
        answer(judged.submitted, submit_outcome::judged, judged.verdicts, merged.revision());
        return false;
    }
    entries.insert(entries.end(), accepted.begin(), accepted.end());
    merged = std::move(trial);
    judged.revision = merged.revision();
    return true;
}

/// Moves the tail into a snapshot and the audit trail. Both are written before the head that refers to them.
void acceptor::compact(batch& new_batch) const {
    const std::int64_t base = head_.entries().revision();
    const auto parts = core::acceptance::encode_parts(head_.entries().all());
    for (std::size_t i = 0; i < parts.size(); ++i)
        new_batch.parts.emplace_back(core::acceptance::part_key(base, static_cast<int>(i)), parts[i]);
    const auto tail = head_.tail();
    new_batch.parts.emplace_back(
        core::acceptance::audit_key(tail.front().entry.change.revision, tail.back().entry.change.revision),
        core::acceptance::encode_audit(tail));
    new_batch.document.previous = new_batch.document.snapshot;
    new_batch.document.snapshot = {base, static_cast<int>(parts.size())};
    new_batch.document.entries.clear();
}

void acceptor::write_next(time_point now) {
    (void)now;
    if (batch_->next_part < batch_->parts.size()) {
        step_ = step::writing_parts;
        const auto& [key, text] = batch_->parts[batch_->next_part];
        awaited_call_ = store_.put(store_call::write_part, key, {}, text);
        return;
    }
    step_ = step::writing_head;
    awaited_call_ = store_.put(store_call::write_head, core::acceptance::head_key(), batch_->replaced_version,
                               core::acceptance::encode(batch_->document));
}

void acceptor::on_part_written(const edge::store_answer& answer, time_point now) {
    // The state at a given revision is the same from every writer, so an existing part can be used.
    if (answer.outcome == store_outcome::ok || answer.outcome == store_outcome::conflict) {
        ++batch_->next_part;
        return write_next(now);
    }
    fail(submit_outcome::unavailable, now); // the head is unchanged
}

void acceptor::on_head_written(const edge::store_answer& answer, time_point now) {
    switch (answer.outcome) {
    case store_outcome::ok:
        head_.adopt(answer.version, batch_->document);
        return finish(now);
    case store_outcome::too_large:
        return fail(submit_outcome::too_large, now);
    case store_outcome::unavailable:
        if (!batch_->maybe_written)
            return fail(submit_outcome::unavailable, now);
        break;
    case store_outcome::unknown:
        batch_->maybe_written = true;
        break;
    case store_outcome::conflict: // possibly with an earlier write of this same batch
    case store_outcome::absent:
    case store_outcome::unchanged:
        break;
    }
    step_ = step::resolving_outcome;
    retry_at_ = answer.store_answered() ? now : now + resolve_retry_after;
    if (answer.store_answered())
        read_head();
}

void acceptor::resolve_outcome(const edge::store_answer& answer, time_point now) {
    if (answer.outcome != store_outcome::ok && answer.outcome != store_outcome::absent) {
        if (!batch_->maybe_written)
            return fail(submit_outcome::unavailable, now);
        retry_at_ = now + resolve_retry_after;
        return;
    }
    const auto document = answer.outcome == store_outcome::ok
                              ? core::acceptance::decode_head(answer.body)
                              : std::optional{core::acceptance::head_document{}};
    if (!document) {
        retry_at_ = now + resolve_retry_after;
        return;
    }
    head_.apply_answer(answer, version_at_read_);
    const auto own_nonce = document->batches.find(settings_.vm);
    if (own_nonce != document->batches.end() && own_nonce->second == batch_->nonce)
        return finish(now);
    if (answer.version != batch_->replaced_version) {
        // The head has a newer version without this batch, so the batch's write can't take effect any more.
        if (batch_->callers_answered) {
            batch_.reset();
            step_ = step::idle;
            return;
        }
        return retry_batch(now);
    }
    // The earlier write may still arrive; the version condition lets only one of the two take effect.
    write_next(now);
}

void acceptor::finish(time_point now) {
    for (judged_submission& judged : batch_->submissions) {
        for (const auto& proposal : judged.submitted.proposals)
            timeline_.add(edge::event_kind::configuration, std::to_string(judged.revision),
                          (proposal.value.empty() ? "Deleted " : "Accepted ") + proposal.key + " for " +
                              judged.submitted.by.name + ".");
        if (!batch_->callers_answered)
            answer(judged.submitted, submit_outcome::accepted, std::move(judged.verdicts), judged.revision);
    }
    if (!batch_->parts.empty())
        cleanup_call_ = store_.list(store_call::remove_part, "config/snapshot/");
    batch_.reset();
    step_ = step::idle;
    start_next_batch(now);
}

void acceptor::fail(submit_outcome outcome, time_point now) {
    if (batch_) {
        for (judged_submission& judged : batch_->submissions)
            if (!batch_->callers_answered)
                answer(judged.submitted, outcome, judged.verdicts, 0);
        batch_.reset();
    }
    step_ = step::idle;
    if (outcome == submit_outcome::unavailable)
        refuse_queue(outcome);
    start_next_batch(now);
}

void acceptor::refuse_queue(submit_outcome outcome) {
    for (submission& submitted : queue_)
        answer(submitted, outcome, {}, 0);
    queue_.clear();
}

void acceptor::answer(submission& submitted, submit_outcome outcome, std::vector<verdict> verdicts,
                      std::int64_t revision) {
    if (submitted.on_result)
        submitted.on_result({outcome, std::move(verdicts), revision});
}

void acceptor::remove_old_snapshots(const edge::store_answer& listed) {
    cleanup_call_ = 0;
    const auto objects = edge::decode_objects(listed.body);
    if (listed.outcome != store_outcome::ok || !objects)
        return; // the next compaction lists them again
    for (const auto& object : *objects)
        if (snapshot_base_of(object.key) < head_.document().previous.base)
            store_.remove(store_call::remove_part, object.key, object.version);
}

} // namespace waxwinglb::programs::admin
