/// Converts between the core's reports and the messages in which gateways send them.
#pragma once

#include "core/exchange/report.hpp"
#include "core/fleet/directory.hpp"
#include "core/membership/store_view.hpp"
#include "core/quarantine/suspect_parts.hpp"
#include "core/streams/version_history.hpp"
#include "core/target_speed/speeds.hpp"
#include "waxwing_types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::gateway {

/// The part of a message that core/exchange decides by. A message of an earlier version reads as that of a
/// member of the receiver's group without data centre.
[[nodiscard]] core::exchange::report decode_report(const wire::peer_status& status);
/// Sets that part of a message; the rest of `to` is left as it is.
void encode_report(const core::exchange::report& report, wire::peer_status& to);

[[nodiscard]] core::quarantine::part_report decode_part(const wire::suspect_part& from);
[[nodiscard]] wire::suspect_part encode_part(const core::quarantine::part_report& report);

[[nodiscard]] core::fleet::departure decode_departure(const wire::leaving_target& from);
[[nodiscard]] wire::leaving_target encode_departure(const core::fleet::departure& from);

[[nodiscard]] core::fleet::target_entry decode_registration(const wire::target_registration& from);
[[nodiscard]] wire::target_registration encode_registration(const core::fleet::target& from,
                                                            core::common::time_point now);

/// `registrations_at`: place in the store's history of the registrations that the sender knows.
[[nodiscard]] wire::store_view encode_view(const core::membership::store_view& from,
                                           core::common::store_position registrations_at,
                                           core::common::time_point now);

/// nullopt: the number of samples is negative or the speed is no positive number.
[[nodiscard]] std::optional<core::target_speed::learned_speed> decode_speed(const wire::target_speed& from);
[[nodiscard]] wire::target_speed encode_speed(const core::target_speed::learned_speed& from);

/// Versions of targets, by service.
using versions_by_service = std::map<std::string, core::streams::dated_versions>;
[[nodiscard]] versions_by_service decode_versions(const std::vector<wire::dated_versions>& from,
                                                  core::common::time_point now);
[[nodiscard]] std::vector<wire::dated_versions> encode_versions(const versions_by_service& from,
                                                                core::common::time_point now);

} // namespace waxwinglb::programs::gateway
