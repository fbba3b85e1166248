/// The page at which a gateway serves the configuration in force to its peers.
#pragma once

#include "edge/http_server.hpp"

#include <mutex>
#include <string>

namespace waxwinglb::programs::gateway {

/// May be used from any thread.
class config_page {
public:
    void change(std::string text); // JSON text of the configuration now in force
    void serve(const edge::exchange_ptr& exchange);

private:
    std::mutex mutex_;
    std::string text_;
    std::string compressed_; // empty until a peer has asked for it
};

} // namespace waxwinglb::programs::gateway
