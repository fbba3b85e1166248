#include "core/exchange/total_feed.hpp"

#include <algorithm>

namespace waxwinglb::core::exchange {
namespace {

using limits::taken_tokens;

/// What a reporter stated longer ago than that is not what it would state now: more than one of its periods.
constexpr common::milliseconds comparable{500};

taken_tokens difference(const taken_tokens& totals, const taken_tokens& counted) {
    taken_tokens out;
    for (const auto& [customer, total] : totals) {
        const auto before = counted.find(customer);
        const double added = total - (before == counted.end() ? 0 : before->second);
        if (added != 0)
            out[customer] = added;
    }
    return out;
}

} // namespace

taken_tokens total_feed::take(const std::string& reporter, std::int64_t boot, const taken_tokens& totals,
                              int coverage, common::time_point now) {
    source& reported = sources_[reporter];
    if (reported.boot != boot || !reported.counted)
        reported.counted = totals; // what it took before is not known, or was counted by another reporter
    reported.boot = boot;
    reported.totals = totals;
    reported.coverage = coverage;
    reported.at = now;
    follow_best(reporter, reported, now);
    if (followed_ != reporter)
        return {};
    taken_tokens added = difference(totals, *reported.counted);
    for (auto& [name, other] : sources_) {
        if (now - other.at <= comparable)
            other.counted = other.totals;
        else
            other.counted.reset(); // what it states next is older or newer than what is counted now
    }
    return added;
}

void total_feed::follow_best(const std::string& reporter, const source& reported, common::time_point now) {
    const auto current = sources_.find(followed_);
    if (current == sources_.end() || !current->second.fresh(now) ||
        reported.coverage > current->second.coverage)
        followed_ = reporter;
}

void total_feed::lower_coverage(const std::string& reporter, int coverage) {
    if (const auto known = sources_.find(reporter); known != sources_.end())
        known->second.coverage = std::min(known->second.coverage, coverage);
}

bool total_feed::fresh(common::time_point now) const {
    const auto current = sources_.find(followed_);
    return current != sources_.end() && current->second.fresh(now);
}

} // namespace waxwinglb::core::exchange
