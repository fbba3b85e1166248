#include "core/feed/feed.hpp"

#include "core/config/codec.hpp"

#include <algorithm>

namespace waxwinglb::core::feed {

using common::time_point;

namespace {

constexpr std::size_t max_tail = 1'000; // changes kept for subscribers; those further behind get a snapshot

std::vector<feed_update> split_snapshot(const config::snapshot& state) {
    std::vector<feed_update> out(1);
    std::size_t bytes = 0;
    for (const auto& [key, value] : config::entries(state)) {
        if (bytes > max_part_bytes) {
            out.emplace_back();
            bytes = 0;
        }
        bytes += key.size() + value.size();
        out.back().entries.push_back({state.revision, key, value});
    }
    for (std::size_t i = 0; i < out.size(); ++i) {
        out[i].to = state.revision;
        out[i].part = static_cast<int>(i);
        out[i].parts = static_cast<int>(out.size());
    }
    return out;
}

} // namespace

time_point config_feed::fresh_until() const {
    const time_point confirmed = confirmed_revision_ <= replica_.revision() ? confirmed_until_ : time_point{};
    return std::max(confirmed, acceptors_fresh_until());
}

/// Zero unless every acceptor in force has reported, can't reach the store, and has accepted no change that
/// is missing here.
time_point config_feed::acceptors_fresh_until() const {
    const auto& in_force = replica_.state().acceptors;
    if (in_force.empty() || confirmed_revision_ > replica_.revision())
        return {};
    time_point out = time_point::max();
    for (const auto& [name, boot] : in_force) {
        const auto found = acceptors_.find(name);
        if (found == acceptors_.end())
            return {};
        const acceptor_report& report = found->second.report;
        if (!report.store_unreachable || report.accepted_revision > replica_.revision())
            return {};
        if (boot != 0 && report.boot != boot)
            return {};
        out = std::min(out, found->second.received_at + acceptor_trust);
    }
    return out;
}

head_result config_feed::take_head(const config_head& head) {
    if (head.revision <= replica_.revision())
        return head_result::current;
    if (head.base > replica_.revision())
        return head_result::needs_snapshot;
    std::vector<config::change> missing;
    for (const config::change& entry : head.entries)
        if (entry.revision > replica_.revision())
            missing.push_back(entry);
    const std::int64_t before = replica_.revision();
    if (replica_.apply(before, head.revision, missing) != config::apply_result::applied)
        return head_result::malformed;
    append_to_tail(before, missing);
    return head_result::current;
}

bool config_feed::take_snapshot(std::int64_t base, const std::vector<config::change>& entries) {
    if (base <= replica_.revision())
        return true;
    if (replica_.apply(0, base, entries) != config::apply_result::applied)
        return false;
    tail_.clear();
    tail_base_ = base;
    return true;
}

void config_feed::confirm_from_store(std::int64_t revision, time_point asked_at) {
    confirm_from_peer(revision, store_trust, asked_at);
}

void config_feed::confirm_from_peer(std::int64_t revision, common::duration fresh_for, time_point asked_at) {
    if (revision < confirmed_revision_)
        return; // an outdated answer says nothing about newer revisions
    confirmed_revision_ = revision;
    confirmed_until_ = std::max(confirmed_until_, asked_at + fresh_for);
}

config::apply_result config_feed::take_update(const feed_update& update) {
    const std::int64_t before = replica_.revision();
    const auto result = replica_.apply(update.from, update.to, update.entries);
    if (result != config::apply_result::applied)
        return result;
    if (update.from == 0) {
        tail_.clear();
        tail_base_ = update.to;
        return result;
    }
    std::vector<config::change> fresh;
    for (const config::change& entry : update.entries)
        if (entry.revision > before)
            fresh.push_back(entry);
    append_to_tail(before, fresh);
    return result;
}

void config_feed::update_acceptor(const std::string& name, const acceptor_report& report,
                                  time_point received_at) {
    acceptors_[name] = {report, received_at};
}

void config_feed::append_to_tail(std::int64_t from, const std::vector<config::change>& entries) {
    if (tail_.empty())
        tail_base_ = from;
    tail_.insert(tail_.end(), entries.begin(), entries.end());
    if (tail_.size() <= max_tail)
        return;
    const auto excess = static_cast<std::ptrdiff_t>(tail_.size() - max_tail);
    tail_base_ = tail_[static_cast<std::size_t>(excess) - 1].revision;
    tail_.erase(tail_.begin(), tail_.begin() + excess);
}

std::vector<feed_update> config_feed::updates_since(std::int64_t have) const {
    if (have >= replica_.revision())
        return {};
    if (have == 0 || have < tail_base_)
        return split_snapshot(replica_.state());
    feed_update out;
    out.from = have;
    out.to = replica_.revision();
    for (const config::change& entry : tail_)
        if (entry.revision > have)
            out.entries.push_back(entry);
    return {out};
}

} // namespace waxwinglb::core::feed
