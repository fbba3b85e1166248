/// Assignment of names to control shards. Control work is divided into a fixed number of shards, each held by
/// one steward at a time under a lease. Every process computes the same shard for the same name.
#pragma once

#include <string>
#include <string_view>

namespace waxwinglb::core::membership {

constexpr int default_shard_count = 16; // fleet-wide setting `control_shards`; all processes must agree

/// XXH3 of the name modulo the count; the same in all processes and versions.
[[nodiscard]] int shard_of(std::string_view name, int shard_count);

// Names of the sharded resources.
[[nodiscard]] std::string bucket_name(std::string_view customer); // rate and burst
[[nodiscard]] std::string replica_set_name(std::string_view service,
                                           std::string_view model); // empty model: plain service
[[nodiscard]] std::string claim_name(std::string_view service, std::string_view customer,
                                     std::string_view key);
[[nodiscard]] std::string weight_slots_name();

} // namespace waxwinglb::core::membership
