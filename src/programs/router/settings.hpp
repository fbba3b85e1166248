/// Settings of waxwing-router.
#pragma once

#include "edge/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwinglb::programs::router {

struct router_settings {
    std::string name;
    std::string vm;
    std::string data_centre;
    std::string http = "127.0.0.1:0";  // for callers and operations pages
    std::vector<std::string> stewards; // any of them; at least one
    int control_shards = 16;           // must be the same in all processes
    std::int64_t max_body = 4 << 20;   // bytes of a caller's request
    std::string certificate_file;      // PEM; empty: plain HTTP
    std::string key_file;
};

/// Reads all members but `name` and `log_level`, which every program reads itself.
void read_settings(edge::settings_section& in, router_settings& out);

} // namespace waxwinglb::programs::router
