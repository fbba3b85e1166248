#include "core/membership/lease.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwinglb::core::membership {
namespace {

using common::time_point;
using nlohmann::json;

constexpr std::size_t max_unsettled = 64; // older lost writes are forgotten; they never extend the term then

} // namespace

std::string encode(const lease_record& record) {
    json state = json::parse(record.state, nullptr, false);
    if (state.is_discarded())
        state = json::object();
    return json{{"holder", record.holder},     {"address", record.address}, {"boot", record.boot},
                {"sequence", record.sequence}, {"fencing", record.fencing}, {"term_ms", record.term.count()},
                {"state", std::move(state)}}
        .dump();
}

std::optional<lease_record> decode_lease(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
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
    if (!known_ || in_flight_)
        return false;
    return record_.holder.empty() || held_by_previous_start() ||
           (!mine_ && free_for(now) >= common::duration::zero());
}

bool shard_lease::held_by_previous_start() const {
    return self_.retakes_own && known_ && !mine_ && record_.holder == self_.holder &&
           record_.address == self_.address;
}

common::duration shard_lease::free_for(time_point now) const {
    if (record_.holder.empty())
        return now - changed_at_;
    return now - (changed_at_ + std::max(record_.term, times_.term) + times_.margin);
}

bool shard_lease::renewal_due(time_point now) const {
    return mine_ && !in_flight_ && known_ && now >= renewed_at_ + times_.renewal;
}

std::optional<lease_write> shard_lease::take(time_point now) {
    if (!takeable(now))
        return std::nullopt;
    lease_record next = record_;
    next.fencing += 1;
    next.holder = self_.holder;
    next.address = self_.address;
    releasing_ = false;
    return send(std::move(next), now);
}

/// Allowed past the own term as well: success shows that nobody took the shard meanwhile.
std::optional<lease_write> shard_lease::write(std::string state, time_point now) {
    if (!mine_ || !known_ || in_flight_ || releasing_)
        return std::nullopt;
    lease_record next = record_;
    next.state = std::move(state);
    return send(std::move(next), now);
}

std::optional<lease_write> shard_lease::release(std::string state, time_point now) {
    if (!mine_ || !known_ || in_flight_)
        return std::nullopt;
    releasing_ = true; // nothing is decided from here on, whether or not this write arrives
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
    in_flight_ = true;
    lease_write out{version_, record.sequence, encode(record)};
    sent_.push_back({version_, now, std::move(record)});
    if (sent_.size() > max_unsettled)
        sent_.erase(sent_.begin());
    return out;
}

void shard_lease::written(std::int64_t sequence, write_result result, std::int64_t version, time_point now) {
    if (sequence == last_sequence_)
        in_flight_ = false;
    const auto found = std::find_if(sent_.begin(), sent_.end(),
                                    [&](const sent_write& one) { return one.record.sequence == sequence; });
    if (result == write_result::not_sent) {
        if (found != sent_.end())
            sent_.erase(found);
        return;
    }
    if (result != write_result::stored) {
        known_ = false; // read before anything else; `sent_` keeps what the read may show
        return;
    }
    if (version < version_ || found == sent_.end())
        return; // something newer is known already
    const lease_record record = found->record;
    if (version > version_)
        advance(version, now);
    adopt(record);
}

void shard_lease::observe_version(std::int64_t version, time_point now) {
    if (seen_ && version <= version_)
        return; // nothing new, or an answer that was overtaken
    advance(version, now);
}

void shard_lease::observe_record(std::int64_t version, const std::optional<lease_record>& record,
                                 time_point now) {
    if (seen_ && version < version_)
        return;
    if (!seen_ || version > version_)
        advance(version, now);
    adopt(record.value_or(lease_record{}));
}

void shard_lease::advance(std::int64_t version, time_point now) {
    version_ = version;
    changed_at_ = now;
    seen_ = true;
    known_ = false;
}

/// Takes `record` as the content of version_; an own one proves its write's term.
void shard_lease::adopt(const lease_record& record) {
    record_ = record;
    known_ = true;
    mine_ = record.boot == self_.boot && record.holder == self_.holder && !record.holder.empty();
    if (!mine_) {
        held_until_ = {};
        releasing_ = false;
    }
    for (const sent_write& one : sent_)
        if (mine_ && one.record.sequence == record.sequence) {
            held_until_ = std::max(held_until_, one.sent_at + record.term);
            renewed_at_ = std::max(renewed_at_, one.sent_at);
        }
    std::erase_if(sent_, [&](const sent_write& one) { return one.if_version < version_; });
}

int fair_share(int shard_count, int live_stewards) {
    const int live = std::max(1, live_stewards);
    return (shard_count + live - 1) / live;
}

} // namespace waxwinglb::core::membership
