/// The accepted configuration as plain data. Names are unique within their kind. Keys are kept as digests
/// only.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::config {

enum class service_kind { model, plain };

/// Rule for calls of a plain service whose path starts with `path_prefix`; the longest matching prefix wins.
struct route_rule {
    std::string path_prefix;      // e.g. "/folios"
    std::string method;           // "GET", "POST", ...; "*" matches all
    bool repeatable = false;      // idempotent: may be retried after a lost answer
    bool open = false;            // served without a key
    std::int64_t cost_tokens = 1; // charged to the customer's rate for each call
};

struct service {
    std::string name;
    service_kind kind = service_kind::model;
    bool checks_orders = true;      // the target refuses orders with an outdated fencing number
    std::vector<route_rule> routes; // plain services only
    common::milliseconds default_deadline{10'000}; // if the caller sets none
    common::milliseconds max_deadline{120'000};    // longer deadlines are cut to this
};

struct adapter {
    std::string name;
    std::int64_t bytes = 0;
};

struct model {
    std::string name;
    std::string service;
    std::string version;                   // loaded replicas with another version are replaced
    std::int64_t bytes = 0;                // accelerator memory of one replica
    int max_replicas = 1;                  // upper bound of the replica set
    common::milliseconds load_estimate{0}; // expected duration of a load from the weight store
    std::vector<adapter> adapters;
};

struct customer {
    std::string name;
    double tokens_per_second = 0; // over all VMs together
    double burst_tokens = 0;      // over all VMs together
    double weight = 1;            // share in scheduling of waiting requests
};

/// A caller's key "wxk_<id>_<secret>"; only the digest of the whole text is kept.
struct access_key {
    std::string id;
    std::string customer;
    std::string digest; // hex BLAKE2b-256
};

/// Trade-off between accelerator hours and cold starts.
struct preset {
    std::string name;
    double idle_price = 1.0;                // above 1, idle replicas are unloaded sooner
    common::milliseconds max_idle{600'000}; // a replica idle for longer is unloaded
    int spare_replicas = 0;                 // reserve for a data centre taken out at short notice
};

enum class data_centre_state { in, out };

struct data_centre {
    std::string name;
    std::string region;
    data_centre_state state = data_centre_state::in;
};

/// All entries accepted up to `revision`.
struct snapshot {
    std::int64_t revision = 0;                       // rises with each accepted change; 0: none accepted
    std::map<std::string, service> services;         // by name
    std::map<std::string, model> models;             // by "<service>/<name>"
    std::map<std::string, customer> customers;       // by name
    std::map<std::string, access_key> keys;          // by key id
    std::map<std::string, preset> presets;           // by name
    std::map<std::string, data_centre> data_centres; // by name
    std::map<std::string, std::int64_t> acceptors;   // boot number by name; admin processes that may accept
    std::string preset_in_force; // name of the active preset; empty only before the first change
};

} // namespace waxwinglb::core::config
