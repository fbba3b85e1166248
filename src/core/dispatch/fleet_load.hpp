/// Requests that the other gateways have at each target, as they last reported it.
///
/// A gateway looks at all targets of a service for each request, and hundreds of gateways may report: the
/// sums are kept, so that a look costs the same in a fleet of any size.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

namespace waxwinglb::core::dispatch {

class fleet_load {
public:
    using counts = std::map<std::string, int>; // requests by target

    void set(const std::string& gateway, counts running); // replaces its last report; empty: forgets it
    /// Brings one target's number in the gateway's last report up to date.
    void set_one(const std::string& gateway, const std::string& target, int running);
    [[nodiscard]] int at(const std::string& target) const;

private:
    void add(const counts& reported, int sign);

    std::unordered_map<std::string, counts> reports_; // by gateway
    std::unordered_map<std::string, int> sums_;       // by target
};

} // namespace waxwinglb::core::dispatch
