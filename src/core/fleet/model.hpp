/// The fleet's configuration as one accepted version: routes, services, engines, customers and their limits.
/// Plain data; units as the field comments say, sizes of models in megabytes.
#pragma once

#include "core/common/store_position.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace waxwinglb::core::fleet {

enum class call_kind {
    idempotent,     // may run more than once
    non_idempotent, // runs at most once for each attempt of its caller
    stream,         // events; treated as non-idempotent unless the route is resumable
};

struct destination {
    std::string service;
    int weight = 1; // share of the route's requests, against the other destinations' weights
};

struct route {
    std::string name;
    std::string host;        // compared without case
    std::string path_prefix; // begins and ends with a slash
    call_kind kind = call_kind::non_idempotent;
    common::milliseconds timeout{30'000};       // longest time that a request may wait
    common::milliseconds target_latency{1'000}; // an answer within it is on time; streams: the first event
    common::milliseconds pause_target{300};     // streams: longest pause between events that is on time
    int priority = 5;                           // 0 is the most urgent
    int max_attempts = 1;                       // targets that one attempt of a caller may be sent to
    bool open = false;                          // served without a key
    bool sticky = false;                        // requests of a session should go to the same target
    bool resumable = false;                     // a stream may be continued by another target
    std::vector<destination> destinations;      // at least one
};

struct model_spec {
    std::string name;
    double megabytes = 0;                // of its weights
    double adapter_megabytes = 0;        // of each adapter
    int adapters = 0;                    // how many it has
    common::milliseconds store_load{0};  // load time from the weight store
    common::milliseconds disk_load{0};   // from a copy on the target's disk
    common::milliseconds memory_load{0}; // from a copy in the target's host memory
};

/// The model engine of a service; all its targets have the same.
struct engine_spec {
    int slots = 1;                            // requests in one batch
    std::int64_t cache_tokens = 0;            // memory for running requests and cached prefixes
    double megabytes = 0;                     // for weights and adapters together
    int adapter_places = 0;                   // adapters held at once
    double store_loads_per_second = 0;        // of the weight store, over all targets
    std::map<std::string, model_spec> models; // by name
};

/// How many targets of a service may run in each data centre.
struct scaling_spec {
    int min = 0;
    int max = 0;
    common::milliseconds boot{0}; // from the call that asks for a target until it serves
};

struct service {
    std::string name;
    std::string health_path;
    int max_connections = 100;           // at one target, over all callers
    double cold_rate = 0;                // requests per second that a cold target can serve; 0: no limit
    std::optional<engine_spec> engine;   // model engines only
    std::optional<scaling_spec> scaling; // set: gateways may change the number of targets
};

struct customer {
    std::string name;
    std::optional<int> priority;  // overrides the route's
    double tokens_per_second = 0; // over all VMs together; 0: no limit
    double burst_tokens = 0;
    double tokens_without_count = 1; // cost of a request that doesn't state its tokens
    std::vector<std::string> keys;   // callers' keys; never logged
};

/// Limits of one caller's connection.
struct ingress_limits {
    std::size_t max_header = 16U << 10U;
    std::size_t max_body = 4U << 20U;
    common::milliseconds header_timeout{3'000};
    common::milliseconds idle_timeout{15'000};
    bool operator==(const ingress_limits&) const = default;
};

struct config {
    std::int64_t version = 0; // rises with each change; 0: no configuration yet
    std::vector<route> routes;
    std::map<std::string, service> services;      // by name
    std::map<std::string, customer> customers;    // by name
    std::map<std::string, std::string> key_owner; // key -> customer's name
    ingress_limits limits;
    std::vector<std::string> not_understood; // invalid parts that count as absent; for the log

    /// The route of `host` with the longest prefix of `path`; nullptr if none matches.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service* find_service(const std::string& name) const;
    [[nodiscard]] const customer* owner_of(const std::string& key) const;

    /// Builds the index that find_route() uses; call once after the last change.
    void index_routes();

private:
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host_; // longest prefix first
};
using config_ptr = std::shared_ptr<const config>;

/// A model, or an adapter of it; as text "MODEL" or "MODEL/ADAPTER".
struct model_ref {
    std::string model;
    std::string adapter; // empty: none
    bool operator==(const model_ref&) const = default;
    bool operator<(const model_ref& other) const {
        return std::tie(model, adapter) < std::tie(other.model, other.adapter);
    }
};
[[nodiscard]] model_ref parse_model_ref(std::string_view text);
[[nodiscard]] std::string to_text(const model_ref& ref); // the inverse of parse_model_ref

/// Versions that a target states of the models and adapters that it holds. A version that isn't stated is
/// absent.
struct held_versions {
    std::map<std::string, std::int64_t> weights; // of models
    std::map<model_ref, std::string> adapters;
    bool operator==(const held_versions&) const = default;
};

/// A target as it registered itself.
struct target_entry {
    std::string id;                 // of this start of the target or, for some targets, of its machine
    std::int64_t born = 0;          // Unix ms of its start; after another start it holds nothing from before
    common::store_position changed; // of the registration; default: not stated
    std::string service;
    std::string address; // "ip:port"
    std::string data_centre;
    std::string software_version;
    int slots = 1;
    bool draining = false;
    common::milliseconds cold_left{0};                      // remaining time for which it is slow
    std::optional<common::milliseconds> remaining;          // time until it is removed at short notice
    std::string not_understood;                             // field that counts as absent; for the log
    std::map<std::string, std::vector<std::string>> models; // loaded models and their adapters
    held_versions versions;                                 // of these
    std::vector<std::string> copies_in_memory;              // models that load fast
    std::vector<std::string> copies_on_disk;                // models that load without the weight store
    bool describes_models = false;                          // the registration had the fields about models
};

/// True if the engine has this model and, if an adapter is named, that adapter ("a1", "a2", ...).
[[nodiscard]] bool offers(const engine_spec& engine, const model_ref& ref);

} // namespace waxwinglb::core::fleet
