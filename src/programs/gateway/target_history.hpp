/// Learns from the store's history which versions targets had that this gateway's lists don't show: between
/// two lists, and before its first one, back to the first registration of a gateway: no stream began before.
#pragma once

#include "programs/gateway/kind_watch.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace waxwinglb::programs::gateway {

class target_history {
public:
    target_history(gateway_context& context, platform::store_client& store)
        : context_(context), store_(store) {}

    /// Targets were listed; what came and went since the last reading is read from the history.
    void note_gap(const kind_watch::gap& gap);
    /// Calls back when nothing is being read any more, or the store doesn't answer.
    void when_read(std::function<void()> on_read);
    /// All registered gateways, this one included if it is registered.
    void note_gateways(const platform::store_reply& list);

private:
    void read_since_first_gateway(); // if all that it needs is known
    void begin_reading(core::common::store_position since);
    void read(core::common::store_position since);
    void handle(const platform::store_reply& reply, core::common::store_position since);
    void end_reading();
    void end_waiting();
    void retry_later(core::common::store_position since);
    /// Returns false if it isn't known what a target had stated.
    [[nodiscard]] bool note_statements(const platform::store_reply& reply);

    gateway_context& context_;
    platform::store_client& store_;
    std::optional<core::common::store_position> listed_; // the latest list after a gap; unset: none yet
    std::optional<core::common::store_position> first_gateway_; // when it registered; unset: not known
    bool reading_ = false;
    std::vector<std::function<void()>> waiting_; // for the end of the reading
    std::uint64_t generation_ = 0;               // of the reading that is under way
};

} // namespace waxwinglb::programs::gateway
