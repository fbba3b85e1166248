#include "core/claims/claim_log.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::claims {

using common::time_point;
using common::unix_time;

namespace {

std::int64_t unix_ms(unix_time wall) {
    return std::chrono::duration_cast<common::milliseconds>(wall.time_since_epoch()).count();
}

std::int64_t latest_expiry(const std::map<std::string, claim>& records) {
    std::int64_t out = 0;
    for (const auto& [key, one] : records)
        out = std::max(out, one.kept_until_unix_ms);
    return out;
}

std::size_t size_of_all(const std::map<std::string, claim>& records) {
    std::size_t out = 0;
    for (const auto& [key, one] : records)
        out += size_of(one);
    return out;
}

/// What is known of a request only grows: a record that says more is never replaced by one that says less.
bool says_more(claim_state outcome, claim_state present) {
    if (present == claim_state::running)
        return outcome != claim_state::running;
    return present == claim_state::unknown &&
           (outcome == claim_state::done || outcome == claim_state::not_run);
}

} // namespace

// ---- questions -----------------------------------------------------------------------------------

void claim_log::claim_key(ticket from, claim wanted, common::duration remaining, time_point now) {
    if (failing_) { // the store is out of reach: the answer is final and comes at once
        answers_.push_back({from, answer_kind::unavailable, std::move(wanted)});
        return;
    }
    wanted.state = claim_state::running;
    const auto wait = std::min<common::duration>(remaining, options_.longest_wait);
    questions_.push_back({from, false, std::move(wanted), now + wait});
}

void claim_log::record_outcome(ticket from, claim outcome, time_point now) {
    if (outcome.answer.size() > max_kept_answer)
        outcome.answer.clear();
    questions_.push_back({from, true, std::move(outcome), now + options_.longest_wait});
}

void claim_log::refuse_overdue(time_point now) {
    const auto overdue = [&](question& one) {
        if (now < one.until)
            return false;
        answers_.push_back({one.from, answer_kind::unavailable, one.record});
        return true;
    };
    std::erase_if(questions_, overdue);
    // A question on its way is answered now; its claim may be stored all the same and is found there later.
    if (batch_)
        std::erase_if(batch_->questions, overdue);
}

answer claim_log::decide(batch& next, const question& one, unix_time wall) const {
    answer out =
        one.is_outcome ? decide_outcome(next, one.record, wall) : decide_claim(next, one.record, wall);
    out.to = one.from;
    return out;
}

answer claim_log::decide_claim(batch& next, const claim& wanted, unix_time wall) const {
    const claim* present = find(next, wanted.key, wall);
    if (present == nullptr || (present->state == claim_state::not_run && !present->same_request(wanted))) {
        put(next, wanted, wall);
        return {0, answer_kind::granted, wanted};
    }
    // The same question again: its first answer was lost, or its write was settled by reading.
    if (present->same_request(wanted) && present->state == claim_state::running)
        return {0, answer_kind::granted, *present};
    const bool same_body = present->fingerprint == wanted.fingerprint;
    return {0, same_body ? answer_kind::existing : answer_kind::mismatch, *present};
}

answer claim_log::decide_outcome(batch& next, const claim& outcome, unix_time wall) const {
    const claim* present = find(next, outcome.key, wall);
    // A request that gave up before its claim was seen to be stored: the record also bars a late write of it.
    if (present == nullptr && outcome.state == claim_state::not_run) {
        put(next, outcome, wall);
        return {0, answer_kind::outcome_stored, outcome};
    }
    if (present != nullptr && present->same_request(outcome) && says_more(outcome.state, present->state))
        put(next, outcome, wall);
    return {0, answer_kind::outcome_stored, outcome};
}

void claim_log::put(batch& next, claim record, unix_time wall) const {
    record.kept_until_unix_ms = unix_ms(wall) + options_.retention.count();
    next.head.records[record.key] = record;
    next.changed[record.key] = std::move(record);
}

const claim* claim_log::find(const batch& next, const std::string& key, unix_time wall) const {
    const auto changed = next.changed.find(key);
    if (changed != next.changed.end())
        return &changed->second;
    const auto found = known_.find(key);
    if (found == known_.end() || found->second.kept_until_unix_ms <= unix_ms(wall))
        return nullptr;
    return &found->second;
}

// ---- steps ---------------------------------------------------------------------------------------

std::optional<step> claim_log::next_step(time_point now, unix_time wall) {
    refuse_overdue(now);
    if (!removals_.empty()) {
        const std::int64_t segment = removals_.back();
        removals_.pop_back();
        return step{step_kind::remove_segment, segment, 0, {}};
    }
    if (under_way_ || now < pause_until_)
        return std::nullopt;
    std::optional<step> out;
    if (phase_ == phase::unread)
        out = step{step_kind::read_head, 0, 0, {}};
    else if (phase_ == phase::reading_segments)
        out = read_next_segment();
    else
        out = !sealing_ && size_of_all(head_.records) >= options_.seal_bytes ? seal() : write_batch(wall);
    under_way_ = out.has_value();
    return out;
}

std::optional<step> claim_log::read_next_segment() {
    return step{step_kind::read_segment, head_.segments[segments_read_], 0, {}};
}

std::optional<step> claim_log::seal() {
    sealing_ = head_.next_segment;
    while (std::find(skipped_.begin(), skipped_.end(), *sealing_) != skipped_.end())
        ++*sealing_;
    sealed_ready_ = false;
    return step{step_kind::create_segment, *sealing_, 0, encode_segment(head_.records)};
}

std::optional<step> claim_log::write_batch(unix_time wall) {
    batch next;
    next.head = head_;
    next.decided_unix_ms = unix_ms(wall);
    if (sealed_ready_) {
        next.head.segments.push_back(*sealing_);
        next.head.next_segment = *sealing_ + 1;
        next.sealed = std::exchange(next.head.records, {});
    }
    drop_expired(next, wall);
    fill(next, wall);
    const bool writes = !next.changed.empty() || next.sealed || !next.dropped.empty();
    if (!writes && next.questions.empty())
        return std::nullopt;
    next.confirming = !writes;
    batch_ = std::move(next);
    if (batch_->confirming)
        return step{step_kind::read_head, 0, 0, {}};
    return step{step_kind::write_head, 0, version_, encode(batch_->head)};
}

void claim_log::fill(batch& next, unix_time wall) {
    std::size_t bytes = 0;
    while (!questions_.empty() && bytes < batch_bytes) {
        bytes += size_of(questions_.front().record);
        next.answers.push_back(decide(next, questions_.front(), wall));
        next.questions.push_back(std::move(questions_.front()));
        questions_.pop_front();
    }
}

void claim_log::drop_expired(batch& next, unix_time wall) const {
    for (const auto& [segment, kept_until] : segment_kept_until_)
        if (kept_until <= unix_ms(wall))
            next.dropped.push_back(segment);
    std::erase_if(next.head.segments, [&](std::int64_t segment) {
        return std::find(next.dropped.begin(), next.dropped.end(), segment) != next.dropped.end();
    });
}

// ---- what the store said -------------------------------------------------------------------------

void claim_log::read_again() {
    phase_ = phase::unread;
    sealing_.reset();
    sealed_ready_ = false;
    if (!batch_)
        return;
    // In their old order, before whatever came since.
    for (; !batch_->questions.empty(); batch_->questions.pop_back())
        questions_.push_front(std::move(batch_->questions.back()));
    batch_.reset();
}

void claim_log::store_failed(time_point now) {
    failing_ = true;
    pause_until_ = now + options_.retry_after;
}

void claim_log::head_read(store_result result, std::int64_t version, const std::string& body,
                          time_point now) {
    under_way_ = false;
    auto head = result == store_result::absent ? log_head{} : decode_log_head(body).value_or(log_head{});
    const bool good = result == store_result::absent || (result == store_result::ok && decode_log_head(body));
    const bool confirmed = good && loaded_ && version == version_;
    if (batch_ && confirmed) {
        give_answers(*batch_);
        batch_.reset();
    } else if (batch_) {
        read_again();
    }
    if (!good)
        return store_failed(now);
    failing_ = false;
    if (confirmed) {
        phase_ = phase::ready; // a lost write hasn't taken effect yet; what is known still holds
        return;
    }
    version_ = version;
    loaded_ = false;
    head_ = std::move(head);
    known_.clear();
    segment_kept_until_.clear();
    segments_read_ = 0;
    phase_ = phase::reading_segments;
    if (head_.segments.empty())
        finish_loading();
}

void claim_log::segment_read(store_result result, const std::string& body, time_point now) {
    under_way_ = false;
    if (result == store_result::absent) { // the head has moved on and dropped it; if not, there's no hurry
        store_failed(now);
        return read_again();
    }
    auto records = result == store_result::ok ? decode_segment(body) : std::nullopt;
    if (!records)
        return store_failed(now);
    failing_ = false;
    segment_kept_until_[head_.segments[segments_read_]] = latest_expiry(*records);
    for (auto& [key, one] : *records)
        known_[key] = std::move(one); // segments are read oldest first
    if (++segments_read_ == head_.segments.size())
        finish_loading();
}

void claim_log::finish_loading() {
    for (const auto& [key, one] : head_.records)
        known_[key] = one;
    loaded_ = true;
    phase_ = phase::ready;
}

void claim_log::head_written(store_result result, std::int64_t version, time_point now) {
    under_way_ = false;
    if (result != store_result::ok) {
        if (result == store_result::failed || result == store_result::unknown)
            store_failed(now);
        else
            failing_ = false;
        return read_again();
    }
    failing_ = false;
    batch done = std::move(*batch_);
    batch_.reset();
    version_ = version;
    if (done.sealed) {
        segment_kept_until_[*sealing_] = latest_expiry(*done.sealed);
        sealing_.reset();
        sealed_ready_ = false;
    }
    for (const std::int64_t segment : done.dropped)
        segment_kept_until_.erase(segment);
    head_ = std::move(done.head);
    // No other log can name them any more: its head would have to be written over this one.
    removals_.insert(removals_.end(), done.dropped.begin(), done.dropped.end());
    for (const std::int64_t segment : std::exchange(skipped_, {})) {
        const auto& named = head_.segments;
        if (std::find(named.begin(), named.end(), segment) != named.end())
            continue; // another log had sealed it
        (segment < head_.next_segment ? removals_ : skipped_).push_back(segment);
    }
    if (!done.dropped.empty())
        std::erase_if(known_,
                      [&](const auto& one) { return one.second.kept_until_unix_ms <= done.decided_unix_ms; });
    for (auto& [key, one] : done.changed)
        known_[key] = std::move(one);
    give_answers(done);
}

/// Answers to questions that were refused meanwhile are dropped: their askers gave up.
void claim_log::give_answers(batch& done) {
    for (answer& one : done.answers)
        if (std::any_of(done.questions.begin(), done.questions.end(),
                        [&](const question& asked) { return asked.from == one.to; }))
            answers_.push_back(std::move(one));
}

void claim_log::segment_created(store_result result, time_point now) {
    under_way_ = false;
    if (result == store_result::ok) {
        failing_ = false;
        sealed_ready_ = true;
        return;
    }
    // Taken, or perhaps created by this very call: the next number is as good.
    if (result != store_result::failed)
        skipped_.push_back(*sealing_);
    if (result == store_result::failed || result == store_result::unknown)
        store_failed(now);
    sealing_.reset();
}

} // namespace waxwinglb::core::claims
