#include "core/membership/announcements.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::membership {
namespace {

using common::milliseconds;
using common::time_point;

constexpr milliseconds min_period{200};
constexpr milliseconds max_period{350};       // two lost messages in a row stay within the contact limit
constexpr milliseconds period_per_member{12}; // limits a gateway to about 80 messages a second
constexpr std::ptrdiff_t informant_count = 2; // one may be lost
constexpr milliseconds repeat_duration{500};  // after a change
constexpr milliseconds entry_expiry{10'000};

} // namespace

milliseconds announcement_period(std::size_t members) {
    return std::clamp(period_per_member * static_cast<int>(members), min_period, max_period);
}

bool is_informant(const std::string& self, const std::string& requester,
                  std::span<const std::string> others) {
    const auto own_rank = common::rendezvous_rank(self, requester);
    const auto higher_ranked = std::count_if(others.begin(), others.end(), [&](const std::string& other) {
        return common::rendezvous_rank(other, requester) > own_rank;
    });
    return higher_ranked < informant_count;
}

bool announcement_schedule::due(const std::string& subject, std::uint64_t content, time_point now) {
    const auto [position, is_new] = entries_.try_emplace(subject);
    entry& known = position->second;
    known.queried_at = now;
    if (is_new || known.content != content) {
        known.content = content;
        known.changed_at = now;
    }
    if (now - known.changed_at > repeat_duration && now - known.announced_at < repeat_after_)
        return false;
    known.announced_at = now;
    return true;
}

void announcement_schedule::forget_old(time_point now) {
    std::erase_if(entries_, [&](const auto& keyed) { return now - keyed.second.queried_at > entry_expiry; });
}

} // namespace waxwinglb::core::membership
