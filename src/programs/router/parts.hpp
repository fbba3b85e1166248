/// The router's parts, owned by its deciding thread.
#pragma once

#include "programs/router/agents.hpp"
#include "programs/router/claims.hpp"
#include "programs/router/directory.hpp"
#include "programs/router/feed.hpp"
#include "programs/router/metrics.hpp"
#include "programs/router/rates.hpp"
#include "programs/router/settings.hpp"
#include "programs/router/views.hpp"

namespace waxwinglb::programs::router {

struct router_parts {
    router_parts(edge::program_context& shared, const router_settings& read, edge::link_hub& hub)
        : context(shared), settings(read), links(hub), metrics(*shared.metrics) {}

    edge::program_context& context;
    const router_settings& settings;
    edge::link_hub& links;
    router_metrics metrics;
    steward_directory stewards{links, settings};
    config_feed config{links, stewards, context};
    customer_rates rates{links, stewards, settings, context};
    replica_views views{links, stewards, settings};
    agent_links agents{links};
    claim_tracker claims{links, stewards, agents, settings};
};

} // namespace waxwinglb::programs::router
