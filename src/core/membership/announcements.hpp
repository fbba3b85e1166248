/// What a gateway tells its peers, how often, and which gateways answer a peer that can't read the store.
///
/// The load that it answers: dozens of gateways, some on a tenth of a processor and links of 10 Mbit/s. Where
/// everything is told to everybody five times a second, the messages of a cut alone fill such links, and
/// gateways that are well lose touch with each other.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace waxwinglb::core::membership {

/// Between two messages to each peer: longer in a large fleet, always short against the contact limit (1 s).
[[nodiscard]] common::milliseconds announcement_period(std::size_t members);

/// Whether `self` is one of the few that send the registrations to `asker`, among itself and `others`: the
/// gateways that `self` knows to be in contact with the asker and to read the store.
[[nodiscard]] bool is_informant(const std::string& self, const std::string& asker,
                                std::span<const std::string> others);

/// Picks what is worth telling again: what changed a moment ago, several times since messages get lost, and
/// everything once in a while, for peers that started in between.
class announcement_schedule {
public:
    /// `again_after`: what did not change is told again after that time.
    explicit announcement_schedule(common::milliseconds again_after) : again_after_(again_after) {}
    /// Whether to tell `subject`, which now stands at `content` (a hash), in the message that is sent now.
    [[nodiscard]] bool due(const std::string& subject, std::uint64_t content, common::time_point now);
    void forget_old(common::time_point now); // subjects that were not asked about for a while

private:
    struct entry {
        std::uint64_t content = 0;
        common::time_point changed_at{};
        common::time_point told_at{};
        common::time_point asked_at{};
    };
    common::milliseconds again_after_;
    std::map<std::string, entry> entries_;
};

} // namespace waxwinglb::core::membership
