#include "core/membership/lease.hpp"

#include "core/common/json_text.hpp"
#include "core/membership/store_eras.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwinglb::core::membership {
namespace {

using common::store_position;
using common::time_point;
using nlohmann::json;

constexpr std::size_t max_pending_writes = 64; // older ones are dropped and can't extend the term

} // namespace

std::string encode(const lease_record& record) {
    json state = common::parse_json(record.state);
    if (state.is_discarded())
        state = json::object();
    return json{{"holder", record.holder},     {"address", record.address}, {"boot", record.boot},
                {"sequence", record.sequence}, {"fencing", record.fencing}, {"term_ms", record.term.count()},
                {"state", std::move(state)}}
        .dump();
}

std::optional<lease_record> decode_lease(std::string_view text) {
    const json parsed = common::parse_json(text);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        lease_record out;
        out.holder = parsed.at("holder").get<std::string>();
        out.address = parsed.at("address").get<std::string>();
        out.boot = parsed.at("boot").get<std::int64_t>();
        out.sequence = parsed.at("sequence").get<std::int64_t>();
        out.fencing = parsed.at("fencing").get<std::int64_t>();
        out.term = common::milliseconds{parsed.at("term_ms").get<std::int64_t>()};
        out.state = parsed.at("state").dump();
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

bool shard_lease::takeable(time_point now) const {
    if (!known_ || write_in_flight_)
        return false;
    return held_by_previous_start() || (!mine_ && free_for(now) >= common::duration::zero());
}

bool shard_lease::held_by_previous_start() const {
    return self_.reclaims_own_lease && known_ && !mine_ && !from_earlier_era() &&
           record_.holder == self_.holder && record_.address == self_.address;
}

common::duration shard_lease::free_for(time_point now) const {
    if (record_.holder.empty() && !may_be_held_in_earlier_era())
        return now - changed_at_;
    return now - (changed_at_ + std::max(record_.term, times_.term) + times_.margin);
}

bool shard_lease::renewal_due(time_point now) const {
    return mine_ && !write_in_flight_ && known_ && now >= renewed_at_ + times_.renewal;
}

std::optional<lease_write> shard_lease::take(time_point now) {
    if (!takeable(now))
        return std::nullopt;
    lease_record next = record_;
    next.fencing = std::max(record_.fencing, fencing_floor(version_.era)) + 1;
    next.holder = self_.holder;
    next.address = self_.address;
    releasing_ = false;
    return send(std::move(next), now);
}

/// Allowed even after the holder's term has ended: success shows that no other process took the shard.
std::optional<lease_write> shard_lease::write(std::string state, time_point now) {
    if (!mine_ || !known_ || write_in_flight_ || releasing_)
        return std::nullopt;
    lease_record next = record_;
    next.state = std::move(state);
    return send(std::move(next), now);
}

std::optional<lease_write> shard_lease::release(std::string state, time_point now) {
    if (!mine_ || !known_ || write_in_flight_)
        return std::nullopt;
    releasing_ = true; // no more decisions from here on, whether or not this write arrives
    lease_record next = record_;
    next.state = std::move(state);
    next.holder.clear();
    next.address.clear();
    return send(std::move(next), now);
}

lease_write shard_lease::send(lease_record record, time_point now) {
    record.boot = self_.boot;
    record.sequence = ++last_sequence_;
    record.term = times_.term;
    write_in_flight_ = true;
    lease_write out{version_, record.sequence, encode(record)};
    pending_writes_.push_back({version_, now, std::move(record)});
    if (pending_writes_.size() > max_pending_writes)
        pending_writes_.erase(pending_writes_.begin());
    return out;
}

void shard_lease::written(std::int64_t sequence, write_result result, store_position version,
                          time_point now) {
    if (sequence == last_sequence_)
        write_in_flight_ = false;
    const auto found =
        std::find_if(pending_writes_.begin(), pending_writes_.end(),
                     [&](const pending_write& pending) { return pending.record.sequence == sequence; });
    if (result == write_result::not_sent) {
        if (found != pending_writes_.end())
            pending_writes_.erase(found);
        return;
    }
    if (result != write_result::stored) {
        known_ = false; // requires a read; the write stays pending, since that read may show it
        return;
    }
    if (version < version_ || found == pending_writes_.end())
        return; // a newer version is known already
    const lease_record record = found->record;
    if (version > version_)
        advance(version, now);
    adopt(record);
}

void shard_lease::observe_version(store_position version, time_point now) {
    if (observed_ && version <= version_)
        return; // unchanged, or an outdated answer
    advance(version, now);
}

void shard_lease::observe_record(store_position version, const std::optional<lease_record>& record,
                                 time_point now) {
    if (observed_ && version < version_)
        return;
    if (!observed_ || version > version_)
        advance(version, now);
    adopt(record.value_or(lease_record{}));
}

void shard_lease::enter_era(std::int64_t era, time_point now) {
    if (era > version_.era)
        advance({era, 0}, now);
}

void shard_lease::advance(store_position version, time_point now) {
    if (version.era > version_.era) {
        held_before_era_ = mine_ && !releasing_ && now < held_until_;
        pending_writes_.clear(); // lost with the old era, or without effect on what this process holds
        mine_ = false;
        releasing_ = false;
        write_in_flight_ = false;
        held_until_ = {};
    }
    version_ = version;
    changed_at_ = now;
    observed_ = true;
    known_ = false;
}

/// A store that states eras and has no record of the lease may have lost one. Its holder may not know yet.
bool shard_lease::may_be_held_in_earlier_era() const {
    return version_.era > 0 && version_.revision == 0 && !held_before_era_;
}

bool shard_lease::from_earlier_era() const {
    return record_.fencing > 0 && record_.fencing < fencing_floor(version_.era);
}

/// Sets `record` as the content of version_. If this process wrote it, the term of that write is valid.
void shard_lease::adopt(const lease_record& record) {
    record_ = record;
    known_ = true;
    mine_ = record.boot == self_.boot && record.holder == self_.holder && !record.holder.empty() &&
            !from_earlier_era();
    if (!mine_) {
        held_until_ = {};
        releasing_ = false;
    }
    for (const pending_write& pending : pending_writes_)
        if (mine_ && pending.record.sequence == record.sequence) {
            held_until_ = std::max(held_until_, pending.sent_at + record.term);
            renewed_at_ = std::max(renewed_at_, pending.sent_at);
        }
    std::erase_if(pending_writes_,
                  [&](const pending_write& pending) { return pending.if_version < version_; });
}

int fair_share(int shard_count, int live_stewards) {
    const int live = std::max(1, live_stewards);
    return (shard_count + live - 1) / live;
}

} // namespace waxwinglb::core::membership
