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

shard_manager::shard_manager(const steward_settings& settings, const core::membership::lease_identity& self,
                             store& store, state_encoder encode_state, state_encoder encode_final_state)
    : term_(settings.lease_term), store_(store), encode_state_(std::move(encode_state)),
      encode_final_state_(std::move(encode_final_state)), contact_({shortest_outage, term_}) {
    core::membership::lease_times times;
    times.term = term_;
    times.margin = term_ / 10;
    times.renewal = term_ / 3;
    for (int shard = 0; shard < settings.control_shards; ++shard)
        shards_.push_back(shard_entry{core::membership::shard_lease{self, times}});
}

bool shard_manager::holds(int shard, time_point now) const {
    return shard >= 0 && shard < count() && at(shard).was_held && at(shard).lease.held(now);
}

int shard_manager::held_count(time_point now) const {
    return static_cast<int>(std::count_if(shards_.begin(), shards_.end(),
                                          [&](const shard_entry& entry) { return entry.lease.held(now); }));
}

std::int64_t shard_manager::mark_changed(int shard, time_point now) {
    const std::int64_t generation = ++at(shard).generation;
    write_state(shard, now);
    return generation;
}

/// Writes the shard's state unless a write is in flight. Decisions made during a write share the next write.
void shard_manager::write_state(int shard, time_point now) {
    shard_entry& entry = at(shard);
    if (!entry.adopted || entry.lease.writing())
        return;
    if (const auto write = entry.lease.write(encode_state_(shard), now)) {
        entry.sent_generation = entry.generation;
        execute(shard, *write, now);
    }
}

void shard_manager::execute(int shard, const lease_write& write, time_point now) {
    store_event tag;
    tag.call = store_call::lease_write;
    tag.shard = shard;
    tag.number = write.sequence;
    tag.asked_at = now;
    store_.put(std::move(tag), shard_key(shard), write.if_version, write.value);
}

void shard_manager::read(int shard, time_point now) {
    shard_entry& entry = at(shard);
    if (entry.reading)
        return;
    entry.reading = true;
    entry.read_requested = false;
    entry.read_at = now;
    store_event tag;
    tag.call = store_call::lease_read;
    tag.shard = shard;
    tag.asked_at = now;
    store_.read(std::move(tag), shard_key(shard));
}

void shard_manager::request_read(int shard) {
    if (shard >= 0 && shard < count() && !at(shard).was_held)
        at(shard).read_requested = true;
}

void shard_manager::tick(int live_stewards, time_point now) {
    if (started_at_ == time_point{})
        started_at_ = now;
    if (!listing_ && now - listed_at_ >= lease_list_interval) {
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

void shard_manager::tick_shard(int shard, int share, time_point now) {
    shard_entry& entry = at(shard);
    report(shard, now);
    const bool read_due =
        entry.read_requested || now - entry.read_at >= (entry.was_held ? term_ / 10 : lease_read_interval);
    if ((entry.lease.needs_read() || entry.read_requested) && !entry.lease.writing() && read_due)
        return read(shard, now);
    if (stopping_ || entry.lease.releasing())
        return hand_over(shard, now);
    const int held = held_count(now);
    if (entry.lease.held(now) && held > share && last_share_ == share)
        return hand_over(shard, now);
    if (entry.lease.renewal_due(now) || (entry.generation > entry.sent_generation && entry.was_held))
        return write_state(shard, now);
    const bool overdue = entry.lease.takeable(now) && entry.lease.free_for(now) >= overdue_after;
    const bool silent_holder = !entry.lease.record().holder.empty();
    if (silent_holder && !contact_.may_take_over(now))
        return;
    if (entry.lease.takeable(now) && now >= started_at_ + first_take_delay && (held < share || overdue))
        if (const auto write = entry.lease.take(now))
            execute(shard, *write, now);
}

/// Releases the shard. Its final state is encoded once and kept for repeated writes, because the services
/// discard the shard when it is reported as released.
void shard_manager::hand_over(int shard, time_point now) {
    shard_entry& entry = at(shard);
    if (!entry.lease.mine() || entry.lease.writing() || entry.lease.needs_read())
        return;
    if (!entry.lease.releasing())
        entry.release_state = entry.adopted ? encode_final_state_(shard) : entry.lease.record().state;
    if (const auto write = entry.lease.release(entry.release_state, now))
        execute(shard, *write, now);
    report(shard, now);
}

void shard_manager::hand_over_all(time_point now) {
    stopping_ = true;
    for (int shard = 0; shard < count(); ++shard)
        tick_shard(shard, 0, now);
}

bool shard_manager::all_handed_over() const {
    return std::none_of(shards_.begin(), shards_.end(), [&](const shard_entry& entry) {
        return entry.lease.mine() || entry.lease.writing();
    });
}

void shard_manager::take(const store_event& event, time_point now) {
    const edge::store_answer& answer = event.answer;
    if (event.call == store_call::lease_list) {
        listing_ = false;
        const auto listed = answer.store_answered() ? edge::decode_objects(answer.body) : std::nullopt;
        if (!listed)
            return contact_.failed(now);
        contact_.answered(now);
        std::map<std::string, core::common::store_position> versions;
        core::common::store_position absent;
        for (const edge::listed_object& object : *listed) {
            versions[object.key] = object.version;
            absent.era = std::max(absent.era, object.version.era);
        }
        for (int shard = 0; shard < count(); ++shard)
            at(shard).lease.observe_version(versions.try_emplace(shard_key(shard), absent).first->second,
                                            now);
        return;
    }
    shard_entry& entry = at(event.shard);
    if (event.call == store_call::lease_write) {
        entry.lease.written(event.number, result_of(answer.outcome), answer.version, now);
        if (answer.outcome == edge::store_outcome::ok && entry.lease.known() &&
            entry.lease.record().holder.empty())
            changes_.push_back({event.shard, shard_change_kind::freed, {}, 0});
        if (answer.outcome != edge::store_outcome::ok)
            entry.sent_generation = entry.stored_generation; // its decisions are written again
        else
            entry.stored_generation = entry.sent_generation;
        report(event.shard, now);
        if (answer.outcome == edge::store_outcome::ok && entry.adopted && entry.was_held)
            changes_.push_back({event.shard, shard_change_kind::written, {}, 0});
        return;
    }
    entry.reading = false;
    if (answer.outcome == edge::store_outcome::absent)
        entry.lease.observe_record({answer.version.era, 0}, std::nullopt, now);
    else if (answer.outcome == edge::store_outcome::ok)
        if (const auto record = core::membership::decode_lease(answer.body))
            entry.lease.observe_record(answer.version, record, now);
    report(event.shard, now);
}

/// Queues the changes since the last report. An expired term is not reported as lost until another holder
/// is seen.
void shard_manager::report(int shard, time_point now) {
    shard_entry& entry = at(shard);
    const bool held = entry.lease.held(now);
    const auto add = [&](shard_change_kind kind) {
        changes_.push_back({shard, kind, entry.lease.record().state, entry.stored_generation});
    };
    if (held && !entry.was_held) {
        const bool same = entry.was_owned && entry.known_fencing == entry.lease.fencing();
        entry.known_fencing = entry.lease.fencing();
        entry.was_held = entry.was_owned = true;
        if (!same)
            entry.adopted = false;
        if (!same)
            entry.generation = entry.sent_generation = entry.stored_generation = entry.reported_generation =
                0;
        add(same ? shard_change_kind::regained : shard_change_kind::acquired);
    }
    if (!held && entry.was_held) {
        entry.was_held = false;
        if (entry.lease.mine() && !entry.lease.releasing())
            add(shard_change_kind::lapsed);
    }
    if (!held && entry.was_owned && (!entry.lease.mine() || entry.lease.releasing())) {
        entry.was_owned = false;
        add(entry.lease.releasing() || entry.lease.record().holder.empty() ? shard_change_kind::released
                                                                           : shard_change_kind::lost);
    }
    if (entry.was_held && entry.stored_generation > entry.reported_generation) {
        entry.reported_generation = entry.stored_generation;
        add(shard_change_kind::stored);
    }
}

std::vector<shard_change> shard_manager::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace waxwinglb::programs::steward
