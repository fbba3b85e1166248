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
    for (const auto& [key, record] : records)
        out = std::max(out, record.kept_until_unix_ms);
    return out;
}

std::size_t total_size(const std::map<std::string, claim>& records) {
    std::size_t out = 0;
    for (const auto& [key, record] : records)
        out += size_of(record);
    return out;
}

/// True if `outcome` is more definite than `current`. A state is never replaced by a less definite one, so
/// late or repeated reports can't undo a known outcome.
bool supersedes(claim_state outcome, claim_state current) {
    if (current == claim_state::running)
        return outcome != claim_state::running;
    return current == claim_state::unknown &&
           (outcome == claim_state::done || outcome == claim_state::not_run);
}

} // namespace

// ---- questions -----------------------------------------------------------------------------------

void claim_log::claim_key(ticket from, claim requested, common::duration remaining, time_point now) {
    if (failing_) { // fail fast while the store is unreachable
        answers_.push_back({from, answer_kind::unavailable, std::move(requested)});
        return;
    }
    requested.state = claim_state::running;
    const auto wait = std::min<common::duration>(remaining, options_.max_wait);
    questions_.push_back({from, false, std::move(requested), now + wait});
}

void claim_log::record_outcome(ticket from, claim outcome, time_point now) {
    if (outcome.answer.size() > max_kept_answer)
        outcome.answer.clear();
    questions_.push_back({from, true, std::move(outcome), now + options_.max_wait});
}

void claim_log::expire_questions(time_point now) {
    const auto expire = [&](pending_question& question) {
        if (now < question.until)
            return false;
        answers_.push_back({question.from, answer_kind::unavailable, question.record});
        return true;
    };
    std::erase_if(questions_, expire);
    // A question in the batch being written expires too. Its claim may still be stored; a later question for
    // the key finds it then.
    if (batch_)
        std::erase_if(batch_->questions, expire);
}

answer claim_log::decide(batch& next, const pending_question& question, unix_time wall) const {
    answer out = question.is_outcome ? decide_outcome(next, question.record, wall)
                                     : decide_claim(next, question.record, wall);
    out.to = question.from;
    return out;
}

answer claim_log::decide_claim(batch& next, const claim& requested, unix_time wall) const {
    const claim* current = find(next, requested.key, wall);
    if (current == nullptr || (current->state == claim_state::not_run && !current->same_request(requested))) {
        put(next, requested, wall);
        return {0, answer_kind::granted, requested};
    }
    // A repeat of a granted question: its first answer was lost, or reading the head showed that its write
    // took effect.
    if (current->same_request(requested) && current->state == claim_state::running)
        return {0, answer_kind::granted, *current};
    const bool same_body = current->fingerprint == requested.fingerprint;
    return {0, same_body ? answer_kind::existing : answer_kind::mismatch, *current};
}

answer claim_log::decide_outcome(batch& next, const claim& outcome, unix_time wall) const {
    const claim* current = find(next, outcome.key, wall);
    // The request gave up before its claim was known to be stored. This record also blocks the claim if it
    // arrives later.
    if (current == nullptr && outcome.state == claim_state::not_run) {
        put(next, outcome, wall);
        return {0, answer_kind::outcome_stored, outcome};
    }
    if (current != nullptr && current->same_request(outcome) && supersedes(outcome.state, current->state))
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
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.kept_until_unix_ms <= unix_ms(wall))
        return nullptr;
    return &found->second;
}

// ---- steps ---------------------------------------------------------------------------------------

std::optional<step> claim_log::next_step(time_point now, unix_time wall) {
    expire_questions(now);
    if (!segments_to_remove_.empty()) {
        const std::int64_t segment = segments_to_remove_.back();
        segments_to_remove_.pop_back();
        return step{step_kind::remove_segment, segment, {}, {}};
    }
    if (call_in_flight_ || now < pause_until_)
        return std::nullopt;
    std::optional<step> out;
    if (phase_ == phase::unread)
        out = step{step_kind::read_head, 0, {}, {}};
    else if (phase_ == phase::reading_segments)
        out = read_next_segment();
    else
        out = !sealing_segment_ && total_size(head_.records) >= options_.seal_bytes ? seal()
                                                                                    : write_batch(wall);
    call_in_flight_ = out.has_value();
    return out;
}

std::optional<step> claim_log::read_next_segment() {
    return step{step_kind::read_segment, head_.segments[segments_read_], {}, {}};
}

std::optional<step> claim_log::seal() {
    sealing_segment_ = head_.next_segment;
    while (std::find(unnamed_segments_.begin(), unnamed_segments_.end(), *sealing_segment_) !=
           unnamed_segments_.end())
        ++*sealing_segment_;
    segment_stored_ = false;
    return step{step_kind::create_segment, *sealing_segment_, {}, encode_segment(head_.records)};
}

std::optional<step> claim_log::write_batch(unix_time wall) {
    batch next;
    next.head = head_;
    next.decided_unix_ms = unix_ms(wall);
    if (segment_stored_) {
        next.head.segments.push_back(*sealing_segment_);
        next.head.next_segment = *sealing_segment_ + 1;
        next.sealed = std::exchange(next.head.records, {});
    }
    drop_expired(next, wall);
    fill_batch(next, wall);
    const bool writes = !next.changed.empty() || next.sealed || !next.dropped.empty();
    if (!writes && next.questions.empty())
        return std::nullopt;
    next.read_only = !writes;
    batch_ = std::move(next);
    if (batch_->read_only)
        return step{step_kind::read_head, 0, {}, {}};
    return step{step_kind::write_head, 0, version_, encode(batch_->head)};
}

void claim_log::fill_batch(batch& next, unix_time wall) {
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

// ---- results of the steps ------------------------------------------------------------------------

void claim_log::reload_head() {
    phase_ = phase::unread;
    sealing_segment_.reset();
    segment_stored_ = false;
    if (!batch_)
        return;
    // Requeues the questions of the batch in their order, ahead of newer ones.
    for (; !batch_->questions.empty(); batch_->questions.pop_back())
        questions_.push_front(std::move(batch_->questions.back()));
    batch_.reset();
}

void claim_log::pause_after_failure(time_point now) {
    failing_ = true;
    pause_until_ = now + options_.retry_after;
}

void claim_log::head_read(store_result result, common::store_position version, const std::string& body,
                          time_point now) {
    call_in_flight_ = false;
    auto head = result == store_result::absent ? log_head{} : decode_log_head(body).value_or(log_head{});
    const bool good = result == store_result::absent || (result == store_result::ok && decode_log_head(body));
    const bool confirmed = good && loaded_ && version == version_;
    if (batch_ && confirmed) {
        deliver_answers(*batch_);
        batch_.reset();
    } else if (batch_) {
        reload_head();
    }
    if (!good)
        return pause_after_failure(now);
    failing_ = false;
    if (confirmed) {
        phase_ = phase::ready; // a write whose answer was lost has not taken effect so far; records_ is valid
        return;
    }
    version_ = version;
    loaded_ = false;
    head_ = std::move(head);
    records_.clear();
    segment_kept_until_.clear();
    segments_read_ = 0;
    phase_ = phase::reading_segments;
    if (head_.segments.empty())
        finish_loading();
}

void claim_log::segment_read(store_result result, const std::string& body, time_point now) {
    call_in_flight_ = false;
    if (result == store_result::absent) { // a newer head has probably dropped it; pauses in case it has not
        pause_after_failure(now);
        return reload_head();
    }
    auto records = result == store_result::ok ? decode_segment(body) : std::nullopt;
    if (!records)
        return pause_after_failure(now);
    failing_ = false;
    segment_kept_until_[head_.segments[segments_read_]] = latest_expiry(*records);
    for (auto& [key, record] : *records)
        records_[key] = std::move(record); // segments are read oldest first
    if (++segments_read_ == head_.segments.size())
        finish_loading();
}

void claim_log::finish_loading() {
    for (const auto& [key, record] : head_.records)
        records_[key] = record;
    loaded_ = true;
    phase_ = phase::ready;
}

void claim_log::head_written(store_result result, common::store_position version, time_point now) {
    call_in_flight_ = false;
    if (result != store_result::ok) {
        if (result == store_result::failed || result == store_result::unknown)
            pause_after_failure(now);
        else
            failing_ = false;
        return reload_head();
    }
    failing_ = false;
    batch done = std::move(*batch_);
    batch_.reset();
    version_ = version;
    if (done.sealed) {
        segment_kept_until_[*sealing_segment_] = latest_expiry(*done.sealed);
        sealing_segment_.reset();
        segment_stored_ = false;
    }
    for (const std::int64_t segment : done.dropped)
        segment_kept_until_.erase(segment);
    head_ = std::move(done.head);
    // No other log can refer to these segments again: that needs a write based on an older head, which fails.
    segments_to_remove_.insert(segments_to_remove_.end(), done.dropped.begin(), done.dropped.end());
    for (const std::int64_t segment : std::exchange(unnamed_segments_, {})) {
        const auto& named = head_.segments;
        if (std::find(named.begin(), named.end(), segment) != named.end())
            continue; // another log created the segment and the head names it
        (segment < head_.next_segment ? segments_to_remove_ : unnamed_segments_).push_back(segment);
    }
    if (!done.dropped.empty())
        std::erase_if(records_, [&](const auto& keyed) {
            return keyed.second.kept_until_unix_ms <= done.decided_unix_ms;
        });
    for (auto& [key, record] : done.changed)
        records_[key] = std::move(record);
    deliver_answers(done);
}

/// Drops answers to questions that expired in the meantime; they were answered as unavailable.
void claim_log::deliver_answers(batch& done) {
    for (answer& reply : done.answers)
        if (std::any_of(done.questions.begin(), done.questions.end(),
                        [&](const pending_question& question) { return question.from == reply.to; }))
            answers_.push_back(std::move(reply));
}

void claim_log::segment_created(store_result result, time_point now) {
    call_in_flight_ = false;
    if (result == store_result::ok) {
        failing_ = false;
        segment_stored_ = true;
        return;
    }
    // The number is in use, perhaps by this call if its answer was lost. The next number is tried instead.
    if (result != store_result::failed)
        unnamed_segments_.push_back(*sealing_segment_);
    if (result == store_result::failed || result == store_result::unknown)
        pause_after_failure(now);
    sealing_segment_.reset();
}

} // namespace waxwinglb::core::claims
