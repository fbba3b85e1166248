/// What the parts of one steward share. Used by the deciding thread alone, but for what is thread-safe
/// itself.
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
    std::int64_t last_call = 0;     // of messages that this steward asks

    [[nodiscard]] std::int64_t next_call() { return ++last_call; }
    [[nodiscard]] const core::config::snapshot& state() const { return config.state(); }
};

} // namespace waxwinglb::programs::steward
