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
    if (was_forgotten(key))
        return begin_result::evicted;
    if (!make_room(now))
        return begin_result::full;
    records_[key].deadline = deadline;
    return begin_result::started;
}

void store::run(const attempt_key& key) {
    answer* one = find(key);
    if (one != nullptr && one->at == phase::waiting)
        one->at = phase::running;
}

bool store::append(const attempt_key& key, std::string_view data) {
    answer* one = find(key);
    if (one == nullptr || one->at != phase::running)
        return false;
    if (one->body.size() + data.size() > options_.max_answer_bytes)
        return false;
    one->body += data;
    one->length += static_cast<std::int64_t>(data.size());
    body_bytes_ += data.size();
    shrink_bodies();
    return true;
}

void store::finish(const attempt_key& key, common::time_point now) {
    answer* one = find(key);
    if (one == nullptr || one->at != phase::running)
        return;
    end(key, *one, phase::finished, now);
    with_body_.push_back(key);
    shrink_bodies();
}

void store::refuse(const attempt_key& key, refusal why, common::time_point now) {
    answer* one = find(key);
    if (one == nullptr || is_final(one->at))
        return;
    one->why = std::move(why);
    drop_body(*one);
    end(key, *one, phase::refused, now);
}

run_status store::cancel(const attempt_key& key, bool sent_to_this_boot, common::time_point now) {
    answer* one = find(key);
    if (one != nullptr) {
        if (one->at == phase::waiting) {
            ++tombstones_;
            end(key, *one, phase::cancelled, now);
            return run_status::not_run;
        }
        if (one->at == phase::refused)
            return one->why.ran;
        return one->at == phase::cancelled ? run_status::not_run : run_status::run;
    }
    const bool covered = sent_to_this_boot || now - born_ >= options_.retention;
    if (!covered || was_forgotten(key) || now < blind_until_)
        return run_status::unknown;
    if (tombstones_ >= options_.max_tombstones || !make_room(now))
        return run_status::unknown;
    ++tombstones_;
    end(key, records_[key], phase::cancelled, now);
    return run_status::not_run;
}

void store::acknowledge(const attempt_key& key) {
    answer* one = find(key);
    if (one != nullptr && one->at == phase::finished)
        drop_body(*one);
}

void store::expire(common::time_point now) {
    while (!with_body_.empty()) {
        answer* one = find(with_body_.front());
        if (one != nullptr && !one->body_dropped &&
            now < std::max(one->deadline, one->ended + options_.keep_at_least))
            break;
        if (one != nullptr)
            drop_body(*one);
        with_body_.pop_front();
    }
    while (!ended_.empty()) {
        const auto found = records_.find(ended_.front());
        if (found->second.ended + options_.retention > now)
            break;
        tombstones_ -= found->second.at == phase::cancelled ? 1U : 0U;
        drop_body(found->second);
        records_.erase(found);
        ended_.pop_front();
    }
    while (!forgotten_order_.empty() && forgotten_order_.front().first + options_.retention <= now) {
        forgotten_.erase(forgotten_order_.front().second);
        forgotten_order_.pop_front();
    }
}

answer* store::find(const attempt_key& key) {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

std::size_t store::unread(common::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(with_body_.begin(), with_body_.end(), [&](const attempt_key& key) {
            const auto found = records_.find(key);
            return found != records_.end() && !found->second.body_dropped && now < found->second.deadline;
        }));
}

void store::end(const attempt_key& key, answer& one, phase at, common::time_point now) {
    one.at = at;
    one.ended = now;
    ended_.push_back(key);
}

void store::drop_body(answer& one) {
    body_bytes_ -= one.body.size();
    one.body.clear();
    one.body.shrink_to_fit();
    one.body_dropped = true;
}

/// Only finished answers give way; a running one is needed by its own request.
void store::shrink_bodies() {
    while (body_bytes_ > options_.max_body_bytes && !with_body_.empty()) {
        if (answer* one = find(with_body_.front()))
            drop_body(*one);
        with_body_.pop_front();
    }
}

/// Evicts the oldest final record that is no tombstone; false if every record must stay.
bool store::make_room(common::time_point now) {
    if (records_.size() < options_.max_records)
        return true;
    const auto oldest = std::find_if(ended_.begin(), ended_.end(), [&](const attempt_key& key) {
        return records_.find(key)->second.at != phase::cancelled;
    });
    if (oldest == ended_.end())
        return false;
    const attempt_key key = *oldest;
    ended_.erase(oldest);
    drop_body(records_[key]);
    records_.erase(key);
    forget(key, now);
    return true;
}

void store::forget(const attempt_key& key, common::time_point now) {
    const std::uint64_t digest = digest_of(key);
    if (forgotten_.insert(digest).second)
        forgotten_order_.emplace_back(now, digest);
    if (forgotten_order_.size() <= options_.max_forgotten)
        return;
    blind_until_ = forgotten_order_.front().first + options_.retention;
    forgotten_.erase(forgotten_order_.front().second);
    forgotten_order_.pop_front();
}

bool store::was_forgotten(const attempt_key& key) const {
    return forgotten_.contains(digest_of(key));
}

} // namespace waxwinglb::core::answers
