/// Converts between the core's reports and the messages in which gateways send them.
#pragma once

#include "core/exchange/report.hpp"
#include "core/quarantine/suspect_parts.hpp"
#include "waxwing_types.h"

namespace waxwinglb::programs::gateway {

/// The part of a message that core/exchange decides by. A message of an earlier version reads as that of a
/// member of the receiver's group without data centre.
[[nodiscard]] core::exchange::report decode_report(const wire::peer_status& status);
/// Sets that part of a message; the rest of `to` is left as it is.
void encode_report(const core::exchange::report& report, wire::peer_status& to);

[[nodiscard]] core::quarantine::part_report decode_part(const wire::suspect_part& from);
[[nodiscard]] wire::suspect_part encode_part(const core::quarantine::part_report& report);

} // namespace waxwinglb::programs::gateway
