/// Links to the agents that this router uses, opened on demand and closed after a while without use.
#pragma once

#include "core/common/time.hpp"
#include "edge/link.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace waxwinglb::programs::router {

class agent_links {
public:
    explicit agent_links(edge::link_hub& links) : links_(links) {}

    /// Wants a link to this address from now on; true if it is open.
    bool want(const std::string& address, core::common::time_point now);

    [[nodiscard]] bool owns(edge::link_id link) const { return addresses_.contains(link); }
    [[nodiscard]] const std::string& address_of(edge::link_id link) const { return addresses_.at(link); }
    [[nodiscard]] std::int64_t boot_of(const std::string& address) const; // of the process at the other end
    const std::string& opened(const edge::link_event& event);             // its address
    const std::string& closed(edge::link_id link);                        // its address

    template<class body_type>
    void send(const std::string& address, wire::message_kind::type kind, std::int64_t call,
              const body_type& body) {
        const auto found = agents_.find(address);
        if (found != agents_.end() && found->second.open)
            links_.send(found->second.link, kind, call, body);
    }

    void tick(core::common::time_point now); // closes unused links

private:
    struct agent {
        edge::link_id link = 0;
        bool open = false;
        std::int64_t boot = 0;
        core::common::time_point used{};
    };
    edge::link_hub& links_;
    std::unordered_map<std::string, agent> agents_; // by address
    std::unordered_map<edge::link_id, std::string> addresses_;
};

} // namespace waxwinglb::programs::router
