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

bool blocks(const verdict& one) {
    return one.kind != verdict_kind::accepted && one.kind != verdict_kind::unchanged &&
           one.kind != verdict_kind::repeated;
}

std::size_t size_of(const submission& wanted) {
    std::size_t out = 0;
    for (const auto& one : wanted.proposals)
        out += one.key.size() + one.value.size();
    return out;
}

/// BASE of config/snapshot/BASE/PART; 0 if the key has another form.
std::int64_t base_of(const std::string& key) {
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
    const bool open = batch_ && (step_ == step::writing_head || batch_->maybe_written);
    return std::max(head_.entries().revision(), open ? batch_->document.revision : 0);
}

void acceptor::submit(submission wanted, time_point now) {
    if (unreachable_since_)
        return answer(wanted, submit_outcome::unavailable, {}, 0);
    queue_.push_back(std::move(wanted));
    pump(now);
}

void acceptor::tick(time_point now) {
    head_.tick(now);
    if (step_ == step::settling && awaited_ == 0 && now >= retry_at_)
        read_head();
    if (step_ == step::settling && !batch_->callers_told && now - batch_->begun > settle_limit) {
        batch_->callers_told = true;
        for (judged_submission& one : batch_->submissions)
            answer(one.wanted, submit_outcome::unknown, one.verdicts, 0);
    }
    pump(now);
}

void acceptor::take(const store_event& event, time_point now) {
    note_contact(event.answer, now);
    switch (event.call) {
    case store_call::watch_head:
    case store_call::read_part:
        head_.take(event, now);
        if (step_ == step::waiting_for_snapshot && !head_.fetching())
            judge_again(now);
        return;
    case store_call::list_acks:
    case store_call::read_ack:
    case store_call::write_ack:
    case store_call::read_audit:
    case store_call::list_vms:
    case store_call::remove_part:
        if (event.number == cleanup_)
            remove_old_snapshots(event.answer);
        return;
    case store_call::read_head:
    case store_call::write_part:
    case store_call::write_head:
        break;
    }
    if (event.number != awaited_)
        return;
    awaited_ = 0;
    if (event.call == store_call::write_part)
        part_written(event.answer, now);
    else if (event.call == store_call::write_head)
        head_written(event.answer, now);
    else if (step_ == step::settling)
        settle(event.answer, now);
    else
        head_read(event.answer, now);
}

void acceptor::read_head() {
    read_at_ = head_.version();
    awaited_ = store_.read(store_call::read_head, core::acceptance::head_key());
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

void acceptor::pump(time_point now) {
    if (step_ != step::idle || queue_.empty())
        return;
    (void)now;
    conflicts_ = 0;
    step_ = step::reading;
    read_head();
}

void acceptor::head_read(const edge::store_answer& answer, time_point now) {
    if (answer.outcome != store_outcome::ok && answer.outcome != store_outcome::absent)
        return fail(submit_outcome::unavailable, now);
    if (head_.learn(answer, read_at_))
        return judge(now);
    if (!head_.fetching())
        return fail(submit_outcome::unavailable, now);
    step_ = step::waiting_for_snapshot;
}

void acceptor::judge_again(time_point now) {
    (void)now;
    if (batch_) {
        for (auto i = batch_->submissions.rbegin(); i != batch_->submissions.rend(); ++i)
            queue_.push_front(std::move(i->wanted));
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
    batch next;
    next.begun = now;
    next.over_version = head_.version();
    next.nonce = make_nonce();
    accepted_config onto = head_.entries();
    std::vector<accepted_entry> entries;
    std::size_t size = 0;
    while (!queue_.empty()) {
        const std::size_t more = size_of(queue_.front());
        if (more <= core::acceptance::max_batch_bytes && size + more > core::acceptance::max_batch_bytes)
            break; // goes into the next batch
        judged_submission one{std::move(queue_.front()), {}, 0};
        queue_.pop_front();
        if (more > core::acceptance::max_batch_bytes) {
            answer(one.wanted, submit_outcome::too_large, {}, 0);
            continue;
        }
        if (!judge_one(one, onto, entries))
            continue;
        size += more;
        next.submissions.push_back(std::move(one));
    }
    if (entries.empty()) {
        step_ = step::idle;
        return pump(now);
    }
    next.document = head_.document();
    if (core::acceptance::needs_compaction(next.document))
        compact(next);
    next.document.entries.insert(next.document.entries.end(), entries.begin(), entries.end());
    next.document.revision = onto.revision();
    std::erase_if(next.document.batches,
                  [&onto](const auto& known) { return onto.find("acceptor/" + known.first) == nullptr; });
    next.document.batches[settings_.vm] = next.nonce;
    batch_ = std::move(next);
    write_next(now);
}

/// True if the submission has entries to write; otherwise it has been answered.
bool acceptor::judge_one(judged_submission& one, accepted_config& onto,
                         std::vector<accepted_entry>& entries) {
    if (!one.wanted.registers && !one.wanted.dry_run && !accepting()) {
        answer(one.wanted, submit_outcome::unconfirmed, {}, 0);
        return false;
    }
    accepted_config trial = onto;
    std::vector<accepted_entry> own;
    for (const auto& proposal : one.wanted.proposals) {
        one.verdicts.push_back(trial.judge(proposal, one.wanted.by));
        const verdict& result = one.verdicts.back();
        if (result.kind != verdict_kind::accepted)
            continue;
        own.push_back({{trial.revision() + 1, proposal.key, result.value},
                       {one.wanted.by.name, one.wanted.by.team, one.wanted.unix_ms, proposal.creation}});
        trial.apply(own.back());
    }
    const bool refused = std::any_of(one.verdicts.begin(), one.verdicts.end(), &blocks);
    if (refused || one.wanted.dry_run || own.empty()) {
        answer(one.wanted, submit_outcome::judged, one.verdicts, onto.revision());
        return false;
    }
    entries.insert(entries.end(), own.begin(), own.end());
    onto = std::move(trial);
    one.revision = onto.revision();
    return true;
}

/// The tail goes into a snapshot and into the audit trail; both are written before the head names them.
void acceptor::compact(batch& into) const {
    const std::int64_t base = head_.entries().revision();
    const auto parts = core::acceptance::encode_parts(head_.entries().all());
    for (std::size_t i = 0; i < parts.size(); ++i)
        into.parts.emplace_back(core::acceptance::part_key(base, static_cast<int>(i)), parts[i]);
    const auto tail = head_.tail();
    into.parts.emplace_back(
        core::acceptance::audit_key(tail.front().entry.change.revision, tail.back().entry.change.revision),
        core::acceptance::encode_audit(tail));
    into.document.previous = into.document.snapshot;
    into.document.snapshot = {base, static_cast<int>(parts.size())};
    into.document.entries.clear();
}

void acceptor::write_next(time_point now) {
    (void)now;
    if (batch_->next_part < batch_->parts.size()) {
        step_ = step::writing_parts;
        const auto& [key, text] = batch_->parts[batch_->next_part];
        awaited_ = store_.put(store_call::write_part, key, 0, text);
        return;
    }
    step_ = step::writing_head;
    awaited_ = store_.put(store_call::write_head, core::acceptance::head_key(), batch_->over_version,
                          core::acceptance::encode(batch_->document));
}

void acceptor::part_written(const edge::store_answer& answer, time_point now) {
    // The state at one revision is the same whoever writes it, so a part that exists already will do.
    if (answer.outcome == store_outcome::ok || answer.outcome == store_outcome::conflict) {
        ++batch_->next_part;
        return write_next(now);
    }
    fail(submit_outcome::unavailable, now); // the head is untouched
}

void acceptor::head_written(const edge::store_answer& answer, time_point now) {
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
    case store_outcome::conflict: // perhaps with this batch's own earlier write
    case store_outcome::absent:
    case store_outcome::unchanged:
        break;
    }
    step_ = step::settling;
    retry_at_ = answer.store_answered() ? now : now + settle_retry_after;
    if (answer.store_answered())
        read_head();
}

void acceptor::settle(const edge::store_answer& answer, time_point now) {
    if (answer.outcome != store_outcome::ok && answer.outcome != store_outcome::absent) {
        if (!batch_->maybe_written)
            return fail(submit_outcome::unavailable, now);
        retry_at_ = now + settle_retry_after;
        return;
    }
    const auto document = answer.outcome == store_outcome::ok
                              ? core::acceptance::decode_head(answer.body)
                              : std::optional{core::acceptance::head_document{}};
    if (!document) {
        retry_at_ = now + settle_retry_after;
        return;
    }
    head_.learn(answer, read_at_);
    const auto last = document->batches.find(settings_.vm);
    if (last != document->batches.end() && last->second == batch_->nonce)
        return finish(now);
    if (answer.version != batch_->over_version) {
        // The head has moved on without this batch, so its write can't take effect any more.
        if (batch_->callers_told) {
            batch_.reset();
            step_ = step::idle;
            return;
        }
        return judge_again(now);
    }
    write_next(now); // the first write may still arrive; only one of the two can take effect
}

void acceptor::finish(time_point now) {
    for (judged_submission& one : batch_->submissions) {
        for (const auto& proposal : one.wanted.proposals)
            timeline_.add(edge::event_kind::configuration, std::to_string(one.revision),
                          (proposal.value.empty() ? "Deleted " : "Accepted ") + proposal.key + " for " +
                              one.wanted.by.name + ".");
        if (!batch_->callers_told)
            answer(one.wanted, submit_outcome::accepted, std::move(one.verdicts), one.revision);
    }
    if (!batch_->parts.empty())
        cleanup_ = store_.list(store_call::remove_part, "config/snapshot/");
    batch_.reset();
    step_ = step::idle;
    pump(now);
}

void acceptor::fail(submit_outcome outcome, time_point now) {
    if (batch_) {
        for (judged_submission& one : batch_->submissions)
            if (!batch_->callers_told)
                answer(one.wanted, outcome, one.verdicts, 0);
        batch_.reset();
    }
    step_ = step::idle;
    if (outcome == submit_outcome::unavailable)
        refuse_queue(outcome);
    pump(now);
}

void acceptor::refuse_queue(submit_outcome outcome) {
    for (submission& one : queue_)
        answer(one, outcome, {}, 0);
    queue_.clear();
}

void acceptor::answer(submission& wanted, submit_outcome outcome, std::vector<verdict> verdicts,
                      std::int64_t revision) {
    if (wanted.done)
        wanted.done({outcome, std::move(verdicts), revision});
}

void acceptor::remove_old_snapshots(const edge::store_answer& listed) {
    cleanup_ = 0;
    const auto objects = edge::decode_objects(listed.body);
    if (listed.outcome != store_outcome::ok || !objects)
        return; // the next compaction finds them again
    for (const auto& one : *objects)
        if (base_of(one.key) < head_.document().previous.base)
            store_.remove(store_call::remove_part, one.key, one.version);
}

} // namespace waxwinglb::programs::admin
