/// The store's configuration objects: config/head with the changes after snapshot `base`, and the snapshot's
/// parts config/snapshot/BASE/PART.
#pragma once

#include "core/config/replica.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::feed {

struct config_head {
    std::int64_t revision = 0;           // newest accepted change
    std::int64_t base = 0;               // revision of the snapshot that the entries follow; 0: none
    int parts = 0;                       // of that snapshot
    std::vector<config::change> entries; // base + 1 ... revision
};

[[nodiscard]] std::optional<config_head> decode_head(std::string_view text); // nullopt: malformed
[[nodiscard]] std::optional<std::vector<config::change>>
decode_part(std::string_view text); // nullopt: malformed
[[nodiscard]] std::string head_key();
[[nodiscard]] std::string part_key(std::int64_t base, int part); // part counts from 0

} // namespace waxwinglb::core::feed
