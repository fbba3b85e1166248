#include "programs/steward/shards.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using core::membership::lease_write;
using core::membership::write_result;

namespace {

constexpr std::string_view shard_prefix = "shards/";

write_result result_of(edge::store_outcome outcome) {
    switch (outcome) {
    case edge::store_outcome::ok:
        return write_result::stored;
    case edge::store_outcome::unavailable:
        return write_result::not_sent;
    case edge::store_outcome::conflict:
    case edge::store_outcome::absent:
    case edge::store_outcome::unchanged:
        return write_result::conflict;
    case edge::store_outcome::too_large:
        return write_result::not_sent;
    case edge::store_outcome::unknown:
        return write_result::unknown;
    }
    return write_result::unknown;
}

} // namespace

std::string shard_key(int shard) {
    return std::string(shard_prefix) + std::to_string(shard);
}

shard_keeper::shard_keeper(const steward_settings& settings, const core::membership::lease_identity& self,
                           store& store, state_of state, state_of final_state)
    : term_(settings.lease_term), store_(store), state_(std::move(state)),
      final_state_(std::move(final_state)), contact_({list_gap, term_}) {
    core::membership::lease_times times;
    times.term = term_;
    times.margin = term_ / 10;
    times.renewal = term_ / 3;
    for (int shard = 0; shard < settings.control_shards; ++shard)
        shards_.push_back(entry{core::membership::shard_lease{self, times}});
}

bool shard_keeper::holds(int shard, time_point now) const {
    return shard >= 0 && shard < count() && at(shard).was_held && at(shard).lease.held(now);
}

int shard_keeper::held_count(time_point now) const {
    return static_cast<int>(
        std::count_if(shards_.begin(), shards_.end(), [&](const entry& one) { return one.lease.held(now); }));
}

std::int64_t shard_keeper::mark_changed(int shard, time_point now) {
    const std::int64_t generation = ++at(shard).generation;
    write_state(shard, now);
    return generation;
}

/// Decisions made while a write is on its way go together into the next one.
void shard_keeper::write_state(int shard, time_point now) {
    entry& one = at(shard);
    if (!one.opened || one.lease.writing())
        return;
    if (const auto write = one.lease.write(state_(shard), now)) {
        one.sent_generation = one.generation;
        carry_out(shard, *write, now);
    }
}

void shard_keeper::carry_out(int shard, const lease_write& write, time_point now) {
    store_event tag;
    tag.call = store_call::lease_write;
    tag.shard = shard;
    tag.number = write.sequence;
    tag.asked_at = now;
    store_.put(std::move(tag), shard_key(shard), write.if_version, write.value);
}

void shard_keeper::read(int shard, time_point now) {
    entry& one = at(shard);
    if (one.reading)
        return;
    one.reading = true;
    one.hinted = false;
    one.read_at = now;
    store_event tag;
    tag.call = store_call::lease_read;
    tag.shard = shard;
    tag.asked_at = now;
    store_.read(std::move(tag), shard_key(shard));
}

void shard_keeper::hint(int shard) {
    if (shard >= 0 && shard < count() && !at(shard).was_held)
        at(shard).hinted = true;
}

void shard_keeper::tick(int live_stewards, time_point now) {
    if (began_ == time_point{})
        began_ = now;
    if (!listing_ && now - listed_at_ >= lease_list_every) {
        listing_ = true;
        listed_at_ = now;
        store_event tag;
        tag.call = store_call::lease_list;
        tag.asked_at = now;
        store_.list(std::move(tag), std::string(shard_prefix));
    }
    const int share = core::membership::fair_share(count(), live_stewards);
    for (int shard = 0; shard < count(); ++shard)
        tick_shard(shard, share, now);
    last_share_ = share;
}

void shard_keeper::tick_shard(int shard, int share, time_point now) {
    entry& one = at(shard);
    report(shard, now);
    const bool read_due = one.hinted || now - one.read_at >= (one.was_held ? term_ / 10 : lease_read_every);
    if ((one.lease.needs_read() || one.hinted) && !one.lease.writing() && read_due)
        return read(shard, now);
    if (stopping_ || one.lease.releasing())
        return hand_over(shard, now);
    const int held = held_count(now);
    if (one.lease.held(now) && held > share && last_share_ == share)
        return hand_over(shard, now);
    if (one.lease.renewal_due(now) || (one.generation > one.sent_generation && one.was_held))
        return write_state(shard, now);
    const bool overdue = one.lease.takeable(now) && one.lease.free_for(now) >= overdue_after;
    const bool silent_holder = !one.lease.record().holder.empty();
    if (silent_holder && !contact_.may_take_over(now))
        return;
    if (one.lease.takeable(now) && now >= began_ + first_take_after && (held < share || overdue))
        if (const auto write = one.lease.take(now))
            carry_out(shard, *write, now);
}

/// The state is taken once: the services let go of the shard when it is reported as released.
void shard_keeper::hand_over(int shard, time_point now) {
    entry& one = at(shard);
    if (!one.lease.mine() || one.lease.writing() || one.lease.needs_read())
        return;
    if (!one.lease.releasing())
        one.release_state = one.opened ? final_state_(shard) : one.lease.record().state;
    if (const auto write = one.lease.release(one.release_state, now))
        carry_out(shard, *write, now);
    report(shard, now);
}

void shard_keeper::hand_over_all(time_point now) {
    stopping_ = true;
    for (int shard = 0; shard < count(); ++shard)
        tick_shard(shard, 0, now);
}

bool shard_keeper::all_handed_over() const {
    return std::none_of(shards_.begin(), shards_.end(),
                        [&](const entry& one) { return one.lease.mine() || one.lease.writing(); });
}

void shard_keeper::take(const store_event& event, time_point now) {
    const edge::store_answer& answer = event.answer;
    if (event.call == store_call::lease_list) {
        listing_ = false;
        const auto listed = answer.store_answered() ? edge::decode_objects(answer.body) : std::nullopt;
        if (!listed)
            return contact_.failed(now);
        contact_.answered(now);
        std::map<std::string, std::int64_t> versions;
        for (const edge::listed_object& object : *listed)
            versions[object.key] = object.version;
        for (int shard = 0; shard < count(); ++shard)
            at(shard).lease.observe_version(versions[shard_key(shard)], now);
        return;
    }
    entry& one = at(event.shard);
    if (event.call == store_call::lease_write) {
        one.lease.written(event.number, result_of(answer.outcome), answer.version, now);
        if (answer.outcome == edge::store_outcome::ok && one.lease.known() &&
            one.lease.record().holder.empty())
            changes_.push_back({event.shard, shard_change_kind::freed, {}, 0});
        if (answer.outcome != edge::store_outcome::ok)
            one.sent_generation = one.stored_generation; // whatever it carried is written again
        else
            one.stored_generation = one.sent_generation;
        report(event.shard, now);
        if (answer.outcome == edge::store_outcome::ok && one.opened && one.was_held)
            changes_.push_back({event.shard, shard_change_kind::written, {}, 0});
        return;
    }
    one.reading = false;
    if (answer.outcome == edge::store_outcome::absent)
        one.lease.observe_record(0, std::nullopt, now);
    else if (answer.outcome == edge::store_outcome::ok)
        if (const auto record = core::membership::decode_lease(answer.body))
            one.lease.observe_record(answer.version, record, now);
    report(event.shard, now);
}

/// Compares with what was reported last; a term that ended is no loss until another holder is seen.
void shard_keeper::report(int shard, time_point now) {
    entry& one = at(shard);
    const bool held = one.lease.held(now);
    const auto add = [&](shard_change_kind kind) {
        changes_.push_back({shard, kind, one.lease.record().state, one.stored_generation});
    };
    if (held && !one.was_held) {
        const bool same = one.was_mine && one.known_fencing == one.lease.fencing();
        one.known_fencing = one.lease.fencing();
        one.was_held = one.was_mine = true;
        if (!same)
            one.opened = false;
        if (!same)
            one.generation = one.sent_generation = one.stored_generation = one.told_generation = 0;
        add(same ? shard_change_kind::regained : shard_change_kind::acquired);
    }
    if (!held && one.was_held) {
        one.was_held = false;
        if (one.lease.mine() && !one.lease.releasing())
            add(shard_change_kind::lapsed);
    }
    if (!held && one.was_mine && (!one.lease.mine() || one.lease.releasing())) {
        one.was_mine = false;
        add(one.lease.releasing() || one.lease.record().holder.empty() ? shard_change_kind::released
                                                                       : shard_change_kind::lost);
    }
    if (one.was_held && one.stored_generation > one.told_generation) {
        one.told_generation = one.stored_generation;
        add(shard_change_kind::stored);
    }
}

std::vector<shard_change> shard_keeper::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace waxwinglb::programs::steward
