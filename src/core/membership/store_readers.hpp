/// Which gateways watch the platform's store closely. The store prices each call, and its rates grow more
/// slowly than the fleet, so a few read it for all: the order giver, or while no order giver is heard a few
/// others. They pass on what changes in their messages. A gateway that hears none of them reads for itself.
#pragma once

#include "core/common/time.hpp"

#include <span>
#include <string>

namespace waxwinglb::core::membership {

/// True if `self` is one of the few that read while there is no order giver. `others`: the gateways that it
/// is in contact with.
[[nodiscard]] bool is_substitute_reader(const std::string& self, std::span<const std::string> others);

/// What one gateway knows of the fleet's readers at one moment.
struct reader_view {
    bool gives_orders = false;       // itself
    bool hears_order_giver = false;  // that reads the store
    bool hears_other_reader = false; // in contact, and the store answers it
    bool is_substitute = false;
};
/// True if the gateway must watch the store closely: it reads for the others, or hears nobody who does.
[[nodiscard]] bool reads_closely(const reader_view& view);

} // namespace waxwinglb::core::membership
