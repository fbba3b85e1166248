/// Rates of the announcements that gateways send to their peers, and the choice of the gateways that send the
/// registrations to a peer which can't read the store.
///
/// Fleets may have dozens of gateways, some on a tenth of a processor and on links of 10 Mbit/s. If each sent
/// its full state to all others five times a second, the messages during a network cut would fill such links,
/// and healthy gateways would lose contact with each other.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace waxwinglb::core::membership {

/// Time between two messages to each peer. It grows with the fleet and stays below half the contact limit (1
/// s).
[[nodiscard]] common::milliseconds announcement_period(std::size_t members);

/// True if `self` is one of the few gateways that send the registrations to `requester`. `others`: the other
/// gateways that `self` knows to be in contact with the requester and to read the store.
[[nodiscard]] bool is_informant(const std::string& self, const std::string& requester,
                                std::span<const std::string> others);

/// Decides which subjects go into the next announcement. A changed subject is repeated for a short time,
/// since messages get lost; an unchanged one is repeated at a longer interval, for peers that started in
/// between.
class announcement_schedule {
public:
    /// `repeat_after`: interval at which an unchanged subject is announced again.
    explicit announcement_schedule(common::milliseconds repeat_after) : repeat_after_(repeat_after) {}
    /// Whether to include `subject`, whose content now has the hash `content`, in the message sent now.
    [[nodiscard]] bool due(const std::string& subject, std::uint64_t content, common::time_point now);
    void forget_old(common::time_point now); // drops subjects that due() was not called for in 10 s

private:
    struct entry {
        std::uint64_t content = 0;
        common::time_point changed_at{};
        common::time_point announced_at{};
        common::time_point queried_at{};
    };
    common::milliseconds repeat_after_;
    std::map<std::string, entry> entries_;
};

} // namespace waxwinglb::core::membership
