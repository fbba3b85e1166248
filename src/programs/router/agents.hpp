/// Links to agents, opened on demand and closed when unused.
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

    /// Marks the link to this address as used and opens one if there is none; true if it is open.
    bool ensure_link(const std::string& address, core::common::time_point now);

    [[nodiscard]] bool owns(edge::link_id link) const { return addresses_.contains(link); }
    [[nodiscard]] const std::string& address_of(edge::link_id link) const { return addresses_.at(link); }
    [[nodiscard]] std::int64_t boot_of(const std::string& address) const; // of the process at the other end
    const std::string& handle_opened(const edge::link_event& event);      // returns its address
    const std::string& handle_closed(edge::link_id link);                 // returns its address

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
        core::common::time_point last_used{};
    };
    edge::link_hub& links_;
    std::unordered_map<std::string, agent> agents_; // by address
    std::unordered_map<edge::link_id, std::string> addresses_;
};

} // namespace waxwinglb::programs::router
