#include "core/membership/announcements.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::membership {
namespace {

using common::milliseconds;
using common::time_point;

constexpr milliseconds shortest_period{200};
constexpr milliseconds longest_period{350}; // two messages in a row may be lost within the contact limit
constexpr milliseconds share_of_member{12}; // keeps a gateway at about 80 messages a second
constexpr std::ptrdiff_t informants = 2;    // one may be lost
constexpr milliseconds repeated_for{500};   // after a change
constexpr milliseconds forgotten_after{10'000};

} // namespace

milliseconds announcement_period(std::size_t members) {
    return std::clamp(share_of_member * static_cast<int>(members), shortest_period, longest_period);
}

bool is_informant(const std::string& self, const std::string& asker, std::span<const std::string> others) {
    const auto own = common::rendezvous_rank(self, asker);
    const auto before = std::count_if(others.begin(), others.end(), [&](const std::string& one) {
        return common::rendezvous_rank(one, asker) > own;
    });
    return before < informants;
}

bool announcement_schedule::due(const std::string& subject, std::uint64_t content, time_point now) {
    const auto [place, is_new] = entries_.try_emplace(subject);
    entry& one = place->second;
    one.asked_at = now;
    if (is_new || one.content != content) {
        one.content = content;
        one.changed_at = now;
    }
    if (now - one.changed_at > repeated_for && now - one.told_at < again_after_)
        return false;
    one.told_at = now;
    return true;
}

void announcement_schedule::forget_old(time_point now) {
    std::erase_if(entries_, [&](const auto& one) { return now - one.second.asked_at > forgotten_after; });
}

} // namespace waxwinglb::core::membership
