/// Learns from the store's history which versions targets had before this gateway first listed them, back to
/// the first registration of a gateway: no stream began before.
#pragma once

#include "platform/store_client.hpp"
#include "programs/gateway/context.hpp"

#include <optional>

namespace waxwinglb::programs::gateway {

class target_history {
public:
    target_history(gateway_context& context, platform::store_client& store)
        : context_(context), store_(store) {}

    /// Targets were listed by a call sent at `until`; changes since `from` are not known, or none before.
    void note_gap(core::common::store_position listed, std::optional<core::common::time_point> from,
                  core::common::time_point until);
    /// All registered gateways, this one included if it is registered.
    void note_gateways(const platform::store_reply& list);

private:
    void read_if_known();
    void read(core::common::store_position since);
    void handle(const platform::store_reply& reply, core::common::store_position since);
    /// Returns false if it isn't known what a target had stated.
    [[nodiscard]] bool note_statements(const platform::store_reply& reply);

    gateway_context& context_;
    platform::store_client& store_;
    std::optional<core::common::store_position> wanted_until_;  // unset: nothing is to be read
    std::optional<core::common::store_position> first_gateway_; // when it registered; unset: not known
    std::uint64_t generation_ = 0;                              // of the reading that is under way
};

} // namespace waxwinglb::programs::gateway
