#include "core/membership/config_reads.hpp"

#include <algorithm>

namespace waxwinglb::core::membership {
namespace {

constexpr std::size_t max_versions = 64; // whose first naming is remembered
constexpr int max_doublings = 3;
constexpr common::milliseconds same_peer_delay{1'000}; // before a peer at which a read failed is asked again

} // namespace

void config_reads::note_newer(std::int64_t version, common::time_point now) {
    if (newer_.size() < max_versions)
        newer_.try_emplace(version, now);
}

void config_reads::note_in_force(std::int64_t version) {
    newer_.erase(newer_.begin(), newer_.upper_bound(version));
}

bool config_reads::due(const std::string& peer, bool store_answers, common::time_point now) const {
    if (under_way_ || newer_.empty() || now < retry_at_)
        return false;
    if (failures_ > 0 && peer == peer_ && now < retry_at_ + same_peer_delay)
        return false;
    const auto named = std::min_element(newer_.begin(), newer_.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    return !store_answers || now >= named->second + store_head_start;
}

void config_reads::begin(const std::string& peer) {
    under_way_ = true;
    peer_ = peer;
}

void config_reads::end(bool in_force, common::time_point now) {
    under_way_ = false;
    failures_ = in_force ? 0 : failures_ + 1;
    const auto delay = min_retry_delay * (1 << std::clamp(failures_ - 1, 0, max_doublings));
    retry_at_ = in_force ? now : now + std::min<common::milliseconds>(delay, max_retry_delay);
}

} // namespace waxwinglb::core::membership
