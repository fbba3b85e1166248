/// Client of the platform service that the steward and admin programs use: a store of objects addressed by
/// key, with versions, conditional writes and watches, and a list of VMs. The gateway uses another store,
/// whose client is platform/store_client.hpp.
///
/// Versions are positions in the store's history: a store that is restored from an older copy has a new era,
/// and a condition on a version of an earlier one never holds.
///
/// This client never retries; libcurl may still resend a request on a new connection if a reused one turns
/// out to be closed. A write that ends as `unknown` may have taken effect or may still do so; the caller
/// finds out by reading the object again.
#pragma once

#include "core/common/error.hpp"
#include "core/common/store_position.hpp"
#include "core/common/time.hpp"
#include "edge/http_client.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::edge {

enum class store_outcome {
    ok,          // carried out; `version` and, for reads, `body` are set
    absent,      // no such object
    unchanged,   // a watch ended without a change
    conflict,    // the condition failed; a repeated PUT can conflict with its own first attempt
    too_large,   // the value exceeds the store's limit
    unavailable, // certainly without effect: never sent, or a failed read
    unknown,     // a write without a usable answer: it may have taken effect
};

struct store_answer {
    store_outcome outcome = store_outcome::unavailable;
    core::common::store_position version; // revision 0: absent
    std::string body;
    core::common::error why; // set for unavailable and unknown

    /// True if the store answered about the object, even with an error.
    [[nodiscard]] bool store_answered() const {
        return outcome != store_outcome::unavailable && outcome != store_outcome::unknown;
    }
};

struct listed_object {
    std::string key;
    core::common::store_position version;
};

/// One entry of the platform's VM list, which lags behind the actual state.
struct listed_vm {
    std::string vm;
    std::string data_centre;
    std::string role;    // target, steward, router or admin
    std::string service; // targets only
    std::string address; // "ip:port" of the process's links
    bool leaving = false;
};

/// Decode the platform's JSON lists; nullopt if malformed.
[[nodiscard]] std::optional<std::vector<listed_object>> decode_objects(const std::string& body);
[[nodiscard]] std::optional<std::vector<listed_vm>> decode_vms(const std::string& body);

class platform_client {
public:
    using on_answer = std::function<void(store_answer&&)>; // on the client's thread; must not block

    /// `address` is the platform's "ip:port". `timeout` bounds each call; a watch's own wait is added to it.
    platform_client(http_client& client, const std::string& address, core::common::milliseconds timeout);

    void read(const std::string& key, on_answer done);
    void watch(const std::string& key, core::common::store_position version, core::common::milliseconds wait,
               on_answer done);
    void list(const std::string& prefix, on_answer done);
    /// A condition with revision 0 creates the object.
    void put(const std::string& key, core::common::store_position if_version, std::string body,
             on_answer done);
    void remove(const std::string& key, core::common::store_position if_version, on_answer done);
    void vms(on_answer done);

private:
    void send(client_request request, on_answer done);
    [[nodiscard]] client_request make_request(const std::string& method, const std::string& path) const;

    http_client& client_;
    std::string base_;
    core::common::milliseconds timeout_;
};

} // namespace waxwinglb::edge
