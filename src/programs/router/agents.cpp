#include "programs/router/agents.hpp"

namespace waxwinglb::programs::router {
namespace {

/// Longer than any deadline: no link is closed while a request runs over it.
constexpr std::chrono::minutes unused_link_lifetime{150};
constexpr std::chrono::minutes unreachable_link_lifetime{2};

} // namespace

bool agent_links::ensure_link(const std::string& address, core::common::time_point now) {
    agent& entry = agents_[address];
    entry.last_used = now;
    if (entry.link == 0) {
        entry.link = links_.connect(address);
        addresses_[entry.link] = address;
    }
    return entry.open;
}

std::int64_t agent_links::boot_of(const std::string& address) const {
    const auto found = agents_.find(address);
    return found == agents_.end() ? 0 : found->second.boot;
}

const std::string& agent_links::handle_opened(const edge::link_event& event) {
    const std::string& address = addresses_.at(event.link);
    agent& entry = agents_[address];
    entry.open = true;
    entry.boot = event.peer.boot;
    return address;
}

const std::string& agent_links::handle_closed(edge::link_id link) {
    const std::string& address = addresses_.at(link);
    agents_[address].open = false;
    return address;
}

void agent_links::tick(core::common::time_point now) {
    for (auto next = agents_.begin(); next != agents_.end();) {
        const agent& entry = next->second;
        const core::common::duration keep = entry.open ? unused_link_lifetime : unreachable_link_lifetime;
        if (now - entry.last_used < keep) {
            ++next;
            continue;
        }
        links_.disconnect(entry.link);
        addresses_.erase(entry.link);
        next = agents_.erase(next);
    }
}

} // namespace waxwinglb::programs::router
