/// Settings of waxwing-admin.
#pragma once

#include "core/acceptance/accepted_config.hpp"
#include "edge/settings.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

/// One operator's credentials; the token is stored only as a digest.
struct operator_account {
    core::acceptance::actor identity;
    std::string token_digest; // hex BLAKE2b-256 of the bearer token
};

struct admin_settings {
    std::string name;
    std::string vm; // also the name of this process in the list of acceptors
    std::string data_centre;
    std::string http;                  // "ip:port" of the administration API and the operations pages
    std::string platform;              // "ip:port" of the platform's service
    std::vector<std::string> stewards; // addresses of their links
    std::vector<std::string> steward_operations; // addresses of their pages, for /v1/in-force
    std::vector<operator_account> operators;
};

void read_settings(edge::settings_section& top, admin_settings& out);

} // namespace waxwinglb::programs::admin
