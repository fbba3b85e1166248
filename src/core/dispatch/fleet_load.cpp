#include "core/dispatch/fleet_load.hpp"

namespace waxwinglb::core::dispatch {

void fleet_load::set(const std::string& gateway, counts running) {
    if (const auto known = reports_.find(gateway); known != reports_.end())
        add(known->second, -1);
    add(running, 1);
    if (running.empty())
        reports_.erase(gateway);
    else
        reports_[gateway] = std::move(running);
}

void fleet_load::set_one(const std::string& gateway, const std::string& target, int running) {
    counts& report = reports_[gateway];
    int& stated = report[target];
    add({{target, running - stated}}, 1);
    stated = running;
    if (running == 0)
        report.erase(target);
    if (report.empty())
        reports_.erase(gateway);
}

int fleet_load::at(const std::string& target) const {
    const auto found = sums_.find(target);
    return found == sums_.end() ? 0 : found->second;
}

void fleet_load::add(const counts& reported, int sign) {
    for (const auto& [target, running] : reported) {
        int& sum = sums_[target];
        sum += sign * running;
        if (sum == 0)
            sums_.erase(target); // targets come and go
    }
}

} // namespace waxwinglb::core::dispatch
