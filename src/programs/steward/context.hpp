/// State shared by the parts of one steward. Only the deciding thread uses it, except for members that are
/// thread-safe.
#pragma once

#include "core/feed/feed.hpp"
#include "core/membership/lease.hpp"
#include "edge/link.hpp"
#include "edge/log.hpp"
#include "edge/program.hpp"
#include "programs/steward/settings.hpp"
#include "programs/steward/store.hpp"

namespace waxwinglb::programs::steward {

struct steward_context {
    const steward_settings& settings;
    edge::program_context& program;
    edge::link_hub& links;
    store& platform;
    core::membership::lease_identity self;
    core::feed::config_feed config; // this steward's copy of the configuration
    std::int64_t last_call = 0;     // call number of the newest request that this steward sent

    [[nodiscard]] std::int64_t next_call() { return ++last_call; }
    [[nodiscard]] const core::config::snapshot& state() const { return config.state(); }
};

} // namespace waxwinglb::programs::steward
