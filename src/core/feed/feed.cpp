#include "core/feed/feed.hpp"

#include "core/config/codec.hpp"

#include <algorithm>

namespace waxwinglb::core::feed {

using common::time_point;

namespace {

constexpr std::size_t max_tail = 1'000; // changes kept for subscribers; older copies get a snapshot

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
    const time_point by_store = vouched_revision_ <= copy_.revision() ? vouched_until_ : time_point{};
    return std::max(by_store, acceptors_until());
}

/// Zero unless every acceptor in force was heard, reaches no store, and accepted nothing that is missing
/// here.
time_point config_feed::acceptors_until() const {
    const auto& in_force = copy_.state().acceptors;
    if (in_force.empty() || vouched_revision_ > copy_.revision())
        return {};
    time_point out = time_point::max();
    for (const auto& [name, boot] : in_force) {
        const auto found = acceptors_.find(name);
        if (found == acceptors_.end())
            return {};
        const acceptor_report& report = found->second.report;
        if (!report.store_unreachable || report.accepted_revision > copy_.revision())
            return {};
        if (boot != 0 && report.boot != boot)
            return {};
        out = std::min(out, found->second.received_at + acceptor_trust);
    }
    return out;
}

head_result config_feed::take_head(const config_head& head) {
    if (head.revision <= copy_.revision())
        return head_result::current;
    if (head.base > copy_.revision())
        return head_result::needs_snapshot;
    std::vector<config::change> missing;
    for (const config::change& one : head.entries)
        if (one.revision > copy_.revision())
            missing.push_back(one);
    const std::int64_t before = copy_.revision();
    if (copy_.apply(before, head.revision, missing) != config::apply_result::applied)
        return head_result::malformed;
    remember(before, missing);
    return head_result::current;
}

bool config_feed::take_snapshot(std::int64_t base, const std::vector<config::change>& entries) {
    if (base <= copy_.revision())
        return true;
    if (copy_.apply(0, base, entries) != config::apply_result::applied)
        return false;
    tail_.clear();
    tail_base_ = base;
    return true;
}

void config_feed::confirm_from_store(std::int64_t revision, time_point asked_at) {
    confirm_from_peer(revision, store_trust, asked_at);
}

void config_feed::confirm_from_peer(std::int64_t revision, common::duration fresh_for, time_point asked_at) {
    if (revision < vouched_revision_)
        return; // an older answer that was overtaken says nothing about newer revisions
    vouched_revision_ = revision;
    vouched_until_ = std::max(vouched_until_, asked_at + fresh_for);
}

config::apply_result config_feed::take_update(const feed_update& whole) {
    const std::int64_t before = copy_.revision();
    const auto result = copy_.apply(whole.from, whole.to, whole.entries);
    if (result != config::apply_result::applied)
        return result;
    if (whole.from == 0) {
        tail_.clear();
        tail_base_ = whole.to;
        return result;
    }
    std::vector<config::change> fresh;
    for (const config::change& one : whole.entries)
        if (one.revision > before)
            fresh.push_back(one);
    remember(before, fresh);
    return result;
}

void config_feed::update_acceptor(const std::string& name, const acceptor_report& report,
                                  time_point received_at) {
    acceptors_[name] = {report, received_at};
}

void config_feed::remember(std::int64_t from, const std::vector<config::change>& entries) {
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
    if (have >= copy_.revision())
        return {};
    if (have == 0 || have < tail_base_)
        return split_snapshot(copy_.state());
    feed_update out;
    out.from = have;
    out.to = copy_.revision();
    for (const config::change& one : tail_)
        if (one.revision > have)
            out.entries.push_back(one);
    return {out};
}

} // namespace waxwinglb::core::feed
