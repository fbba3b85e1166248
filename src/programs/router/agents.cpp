#include "programs/router/agents.hpp"

namespace waxwinglb::programs::router {
namespace {

/// Longer than any deadline, so that no link is closed under a running request.
constexpr std::chrono::minutes keep_unused{150};
constexpr std::chrono::minutes keep_unreachable{2};

} // namespace

bool agent_links::want(const std::string& address, core::common::time_point now) {
    agent& one = agents_[address];
    one.used = now;
    if (one.link == 0) {
        one.link = links_.connect(address);
        addresses_[one.link] = address;
    }
    return one.open;
}

std::int64_t agent_links::boot_of(const std::string& address) const {
    const auto found = agents_.find(address);
    return found == agents_.end() ? 0 : found->second.boot;
}

const std::string& agent_links::opened(const edge::link_event& event) {
    const std::string& address = addresses_.at(event.link);
    agent& one = agents_[address];
    one.open = true;
    one.boot = event.peer.boot;
    return address;
}

const std::string& agent_links::closed(edge::link_id link) {
    const std::string& address = addresses_.at(link);
    agents_[address].open = false;
    return address;
}

void agent_links::tick(core::common::time_point now) {
    for (auto next = agents_.begin(); next != agents_.end();) {
        const agent& one = next->second;
        const core::common::duration keep = one.open ? keep_unused : keep_unreachable;
        if (now - one.used < keep) {
            ++next;
            continue;
        }
        links_.disconnect(one.link);
        addresses_.erase(one.link);
        next = agents_.erase(next);
    }
}

} // namespace waxwinglb::programs::router
