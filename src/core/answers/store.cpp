#include "core/answers/store.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::answers {
namespace {

std::uint64_t digest_of(const attempt_key& key) {
    return common::hash_of(key.request_id, static_cast<std::uint64_t>(key.attempt));
}

bool is_final(phase at) {
    return at == phase::finished || at == phase::refused || at == phase::cancelled;
}

} // namespace

begin_result store::begin(const attempt_key& key, common::time_point deadline, common::time_point now) {
    const auto found = records_.find(key);
    if (found != records_.end())
        return found->second.at == phase::cancelled ? begin_result::cancelled : begin_result::duplicate;
    if (was_evicted(key))
        return begin_result::evicted;
    if (!make_room(now))
        return begin_result::full;
    records_[key].deadline = deadline;
    return begin_result::started;
}

void store::run(const attempt_key& key) {
    answer* record = find(key);
    if (record != nullptr && record->at == phase::waiting)
        record->at = phase::running;
}

bool store::append(const attempt_key& key, std::string_view data) {
    answer* record = find(key);
    if (record == nullptr || record->at != phase::running)
        return false;
    if (record->body.size() + data.size() > options_.max_answer_bytes)
        return false;
    record->body += data;
    record->length += static_cast<std::int64_t>(data.size());
    body_bytes_ += data.size();
    shrink_bodies();
    return true;
}

void store::finish(const attempt_key& key, common::time_point now) {
    answer* record = find(key);
    if (record == nullptr || record->at != phase::running)
        return;
    set_final(key, *record, phase::finished, now);
    finished_with_body_.push_back(key);
    shrink_bodies();
}

void store::refuse(const attempt_key& key, refusal why, common::time_point now) {
    answer* record = find(key);
    if (record == nullptr || is_final(record->at))
        return;
    record->why = std::move(why);
    drop_body(*record);
    set_final(key, *record, phase::refused, now);
}

run_status store::cancel(const attempt_key& key, bool sent_to_this_boot, common::time_point now) {
    answer* record = find(key);
    if (record != nullptr) {
        if (record->at == phase::waiting) {
            ++tombstones_;
            set_final(key, *record, phase::cancelled, now);
            return run_status::not_run;
        }
        if (record->at == phase::refused)
            return record->why.ran;
        return record->at == phase::cancelled ? run_status::not_run : run_status::run;
    }
    const bool covers_whole_history = sent_to_this_boot || now - started_at_ >= options_.retention;
    if (!covers_whole_history || was_evicted(key) || now < eviction_history_lost_until_)
        return run_status::unknown;
    if (tombstones_ >= options_.max_tombstones || !make_room(now))
        return run_status::unknown;
    ++tombstones_;
    set_final(key, records_[key], phase::cancelled, now);
    return run_status::not_run;
}

void store::acknowledge(const attempt_key& key) {
    answer* record = find(key);
    if (record != nullptr && record->at == phase::finished)
        drop_body(*record);
}

void store::expire(common::time_point now) {
    while (!finished_with_body_.empty()) {
        answer* record = find(finished_with_body_.front());
        if (record != nullptr && !record->body_dropped &&
            now < std::max(record->deadline, record->ended + options_.min_retention))
            break;
        if (record != nullptr)
            drop_body(*record);
        finished_with_body_.pop_front();
    }
    while (!final_order_.empty()) {
        const auto found = records_.find(final_order_.front());
        if (found->second.ended + options_.retention > now)
            break;
        tombstones_ -= found->second.at == phase::cancelled ? 1U : 0U;
        drop_body(found->second);
        records_.erase(found);
        final_order_.pop_front();
    }
    while (!eviction_order_.empty() && eviction_order_.front().first + options_.retention <= now) {
        evicted_.erase(eviction_order_.front().second);
        eviction_order_.pop_front();
    }
}

answer* store::find(const attempt_key& key) {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

std::size_t store::unread(common::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(finished_with_body_.begin(), finished_with_body_.end(), [&](const attempt_key& key) {
            const auto found = records_.find(key);
            return found != records_.end() && !found->second.body_dropped && now < found->second.deadline;
        }));
}

void store::set_final(const attempt_key& key, answer& record, phase at, common::time_point now) {
    record.at = at;
    record.ended = now;
    final_order_.push_back(key);
}

void store::drop_body(answer& record) {
    body_bytes_ -= record.body.size();
    record.body.clear();
    record.body.shrink_to_fit();
    record.body_dropped = true;
}

/// Drops bodies of finished answers, oldest first; a running request still needs its own.
void store::shrink_bodies() {
    while (body_bytes_ > options_.max_body_bytes && !finished_with_body_.empty()) {
        if (answer* record = find(finished_with_body_.front()))
            drop_body(*record);
        finished_with_body_.pop_front();
    }
}

/// Evicts the oldest final record that is not a tombstone if the store is full; false if no record may be
/// evicted.
bool store::make_room(common::time_point now) {
    if (records_.size() < options_.max_records)
        return true;
    const auto oldest = std::find_if(final_order_.begin(), final_order_.end(), [&](const attempt_key& key) {
        return records_.find(key)->second.at != phase::cancelled;
    });
    if (oldest == final_order_.end())
        return false;
    const attempt_key key = *oldest;
    final_order_.erase(oldest);
    drop_body(records_[key]);
    records_.erase(key);
    record_eviction(key, now);
    return true;
}

void store::record_eviction(const attempt_key& key, common::time_point now) {
    const std::uint64_t digest = digest_of(key);
    if (evicted_.insert(digest).second)
        eviction_order_.emplace_back(now, digest);
    if (eviction_order_.size() <= options_.max_evicted)
        return;
    eviction_history_lost_until_ = eviction_order_.front().first + options_.retention;
    evicted_.erase(eviction_order_.front().second);
    eviction_order_.pop_front();
}

bool store::was_evicted(const attempt_key& key) const {
    return evicted_.contains(digest_of(key));
}

} // namespace waxwinglb::core::answers
