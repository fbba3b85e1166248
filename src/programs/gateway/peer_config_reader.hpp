/// Reads the configuration from a peer that has a newer version in force (core/membership/config_reads).
#pragma once

#include "core/membership/config_reads.hpp"
#include "edge/http_client.hpp"
#include "programs/gateway/store_watch.hpp"

namespace waxwinglb::programs::gateway {

/// Path at which each gateway serves the configuration in force to its peers.
inline constexpr const char* peer_config_path = "/peer/config";

class peer_config_reader {
public:
    peer_config_reader(gateway_context& context, store_watch& watch, edge::http_client& client)
        : context_(context), watch_(watch), client_(client) {}

    /// A peer has `version` in force and serves it at `address`. Reads it if that is due.
    void follow(std::int64_t version, const std::string& address);

private:
    void read(const std::string& address, std::int64_t version);
    /// A read that leaves `version` out of force has failed, whatever came.
    void handle_answer(const std::string& address, std::int64_t version, const edge::client_result& answer);

    gateway_context& context_;
    store_watch& watch_;
    edge::http_client& client_;
    core::membership::config_reads reads_;
};

} // namespace waxwinglb::programs::gateway
