#include "programs/steward/settings.hpp"

#include "core/membership/shard.hpp"

namespace waxwinglb::programs::steward {
namespace {

using core::common::milliseconds;

constexpr std::int64_t max_control_shards = 4'096;
constexpr std::int64_t max_max_subscribers = 10'000;
constexpr milliseconds min_lease_term{300};
constexpr milliseconds max_lease_term{60'000};

} // namespace

void read_settings(edge::settings_section& top, steward_settings& out) {
    out.vm = top.text("vm");
    out.data_centre = top.text("data_centre");
    out.listen = top.address("listen");
    out.operations = top.address("operations");
    out.platform = top.address("platform");
    out.stewards = top.addresses("stewards");
    out.control_shards = static_cast<int>(
        top.integer("control_shards", 1, max_control_shards, core::membership::default_shard_count));
    out.max_subscribers =
        static_cast<int>(top.integer("max_subscribers", 1, max_max_subscribers, out.max_subscribers));
    out.lease_term = top.duration("lease_term", out.lease_term);
    if (out.lease_term < min_lease_term || out.lease_term > max_lease_term)
        top.fault("lease_term", "a duration from 300ms to 60s");
    out.vm_list_lag = top.duration("vm_list_lag", out.vm_list_lag);
    out.claim_retention = top.duration("claim_retention", out.claim_retention);
}

} // namespace waxwinglb::programs::steward
