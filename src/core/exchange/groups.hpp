/// Division of the gateways into groups, by data centre.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::exchange {

/// Gateways up to which a fleet is one group: each reports to each. A message every 0.35 s to 40 peers is
/// about what a machine with a tenth of a core can send beside its other work.
constexpr std::size_t max_single_group = 40;
/// Gateways in a group of a larger fleet. A data centre with more of them has several groups.
constexpr std::size_t max_group = 24;

/// Data centres by gateway's name; empty for a gateway of an earlier version, which states none.
using gateway_places = std::map<std::string, std::string>;

/// Groups by gateway's name, for all gateways whose data centre is known.
[[nodiscard]] std::map<std::string, std::string> divide_into_groups(const gateway_places& gateways);

/// What is known of a gateway that may speak for its group.
struct candidate {
    std::string name;
    double processor_share = 0; // of a core
};
/// The group's speakers: larger machines first. `members`: those in contact.
[[nodiscard]] std::vector<std::string> choose_speakers(const std::string& group,
                                                       std::vector<candidate> members);
/// Whether `self` is the one of the speakers that passes on what is only repeated about `subject`. Whoever
/// isn't a speaker passes on everything: it is there because no speaker was reached.
[[nodiscard]] bool repeats(const std::string& subject, const std::string& self,
                           const std::vector<std::string>& speakers);

} // namespace waxwinglb::core::exchange
