#include "core/duties/true_time.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::duties {
namespace {

using common::milliseconds;
using common::time_point;

constexpr milliseconds min_jump{500};      // smaller changes are corrections of the clock's rate
constexpr milliseconds jitter{20};         // of a message's delay
constexpr milliseconds max_delay{2'000};   // an offset that falls for so long is no delay of messages
constexpr milliseconds retention{600'000}; // of the clock of a peer that isn't heard any more
constexpr std::int64_t max_unix_ms = 253'402'300'799'999; // the end of the year 9999

milliseconds boot_ms(time_point moment) {
    return std::chrono::floor<milliseconds>(moment.time_since_epoch());
}

} // namespace

std::optional<milliseconds> true_time::note_own(milliseconds unix_ms, time_point now) {
    const milliseconds offset = unix_ms - boot_ms(now);
    const auto before = std::exchange(own_, offset);
    if (!before || std::chrono::abs(offset - *before) < min_jump)
        return std::nullopt;
    return offset - *before;
}

/// A message that was held up, for example while this process was frozen, makes the peer's offset look lower
/// than it is. So a lower one counts only after some time.
void true_time::note_peer(const std::string& name, std::int64_t unix_ms, time_point now) {
    if (unix_ms < 0 || unix_ms > max_unix_ms)
        return;
    const milliseconds offset = milliseconds{unix_ms} - boot_ms(now);
    const auto [found, added] = peers_.try_emplace(name);
    peer_clock& peer = found->second;
    peer.heard_at = now;
    if (added || offset >= peer.offset - jitter) {
        peer.offset = added ? offset : std::max(offset, peer.offset);
        peer.lower_since.reset();
        return;
    }
    if (!peer.lower_since) {
        peer.lower_since = now;
        peer.highest_since = offset;
    }
    peer.highest_since = std::max(peer.highest_since, offset);
    if (now - *peer.lower_since < max_delay)
        return;
    peer.offset = peer.highest_since;
    peer.lower_since.reset();
}

void true_time::update(time_point now) {
    std::erase_if(peers_, [&](const auto& known) { return now - known.second.heard_at > retention; });
    std::vector<milliseconds> offsets;
    if (own_)
        offsets.push_back(*own_);
    for (const auto& [name, peer] : peers_)
        offsets.push_back(peer.offset);
    if (offsets.empty())
        return;
    std::sort(offsets.begin(), offsets.end());
    const milliseconds low = offsets[(offsets.size() - 1) / 2];
    const milliseconds high = offsets[offsets.size() / 2];
    // Of two in the middle the one nearer to the estimate: of two clocks, the one that jumped loses.
    const milliseconds known = estimated_ ? offset_ : own_.value_or(low);
    offset_ = std::chrono::abs(low - known) <= std::chrono::abs(high - known) ? low : high;
    estimated_ = true;
}

milliseconds true_time::at(time_point moment) const {
    return offset_ + boot_ms(moment);
}

} // namespace waxwinglb::core::duties
