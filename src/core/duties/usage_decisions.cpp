#include "core/duties/usage_decisions.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::duties {
namespace {

using common::milliseconds;
using common::store_position;
using common::time_point;
using membership::write_result;

constexpr std::size_t max_remembered = 4 * kept_windows; // windows known to be decided, and those reported

template<class container>
void drop_oldest(container& from, std::size_t kept) {
    while (from.size() > kept)
        from.erase(from.begin());
}

} // namespace

void usage_decisions::enter_era(std::int64_t era, time_point now) {
    if (era < version_.era)
        return;
    version_ = {era, 0};
    known_ = false;
    writing_ = false;
    object_.clear();
    lost_ = true;
    certain_from_ = now;
}

void usage_decisions::hold(std::optional<std::int64_t> token, time_point now) {
    if (token == token_)
        return;
    token_ = token;
    held_since_ = now;
    known_ = false;
    writing_ = false; // the answer of a write under way is not waited for: the object is read again
    first_read_ = true;
}

bool usage_decisions::ready(std::int64_t window, const usage_sources& sources, milliseconds true_now) const {
    const milliseconds end = options_.windows.end_of(window);
    if (true_now >= end + options_.wait)
        return true;
    return true_now >= end + options_.settle &&
           std::all_of(sources.in_contact.begin(), sources.in_contact.end(), [&](const std::string& name) {
               return sources.totals.has_final(name, window, options_.settle);
           });
}

std::optional<usage_write> usage_decisions::write_due(const usage_sources& sources, const true_time& clock,
                                                      time_point now) {
    if (!token_ || !known_ || writing_ || now < sources.gathered_since + options_.wait)
        return std::nullopt;
    const milliseconds true_now = clock.at(now);
    const auto& windows = options_.windows;
    usage_write out;
    out.windows = lost_ ? decided_ : object_;
    const std::int64_t oldest = windows.at(true_now - usage_retention - windows.length);
    const std::int64_t next = out.windows.empty() ? oldest : out.windows.rbegin()->first + 1;
    for (std::int64_t window = std::max(oldest, next); windows.end_of(window) <= true_now; ++window) {
        if (!windows.kept(window, true_now)) {
            give_up(window, "too_old");
            continue;
        }
        if (lost_ && windows.end_of(window) <= clock.at(certain_from_)) {
            give_up(window, "may_be_decided");
            continue;
        }
        if (!ready(window, sources, true_now))
            break;
        out.windows[window] = sources.totals.sum(window);
        out.decided.push_back(window);
        for (const std::string& name : sources.in_contact)
            if (!sources.totals.has_final(name, window, milliseconds{0}))
                out.missing.insert(name);
    }
    if (out.decided.empty())
        return std::nullopt;
    drop_oldest(out.windows, kept_windows);
    out.sequence = ++last_sequence_;
    out.if_version = version_;
    in_flight_ = out.windows;
    writing_ = true;
    return out;
}

/// Adds decisions to those that are known.
void usage_decisions::adopt(const window_counts& windows) {
    for (const auto& [window, counts] : windows)
        decided_[window] = counts;
    drop_oldest(decided_, max_remembered);
    while (reported_.size() > max_remembered)
        reported_.erase(reported_.begin());
}

void usage_decisions::observe(store_position version, const std::optional<window_counts>& windows,
                              const true_time& clock, time_point now) {
    if (version < version_ || version.era != version_.era)
        return; // an outdated answer
    version_ = version;
    known_ = true;
    lost_ = !windows;
    object_ = windows.value_or(window_counts{});
    adopt(object_);
    if (!std::exchange(first_read_, false))
        return;
    for (const auto& [window, counts] : decided_) // the holder before had the time to report these
        if (is_late(window, clock.at(now)))
            reported_.insert(window);
}

void usage_decisions::observe_malformed(store_position version, time_point now) {
    if (version < version_ || version.era != version_.era)
        return;
    if (version > version_ || !lost_)
        certain_from_ = now;
    version_ = version;
    known_ = true;
    lost_ = true;
    object_.clear();
}

void usage_decisions::written(std::int64_t sequence, write_result result, store_position version) {
    if (sequence != last_sequence_ || !writing_)
        return;
    writing_ = false;
    if (result == write_result::not_sent)
        return;
    if (result != write_result::stored || version < version_ || version.era != version_.era) {
        known_ = false; // requires a read: this or another holder's write may have taken effect
        return;
    }
    version_ = version;
    lost_ = false;
    object_ = in_flight_;
    adopt(object_);
}

std::optional<usage_decisions::report> usage_decisions::report_due() const {
    if (!token_ || first_read_)
        return std::nullopt;
    for (const auto& [window, counts] : decided_)
        if (!reported_.contains(window))
            return report{window, counts};
    return std::nullopt;
}

void usage_decisions::give_up(std::int64_t window, const char* why) {
    if (window <= newest_given_up_)
        return;
    newest_given_up_ = window;
    given_up_.push_back({window, why});
}

std::vector<given_up_window> usage_decisions::take_given_up(const true_time& clock, time_point now) {
    const milliseconds true_now = clock.at(now);
    const auto& windows = options_.windows;
    if (token_) {
        for (const auto& [window, counts] : decided_)
            if (!first_read_ && !reported_.contains(window) &&
                true_now > windows.end_of(window) + usage_retention) {
                reported_.insert(window);
                given_up_.push_back({window, "no_answer"});
            }
        const std::int64_t expired = windows.at(true_now - usage_retention) - 1;
        if (clock.at(held_since_) <= windows.end_of(expired) && !decided_.contains(expired))
            give_up(expired, "not_decided_in_time");
    }
    return std::exchange(given_up_, {});
}

} // namespace waxwinglb::core::duties
