/// Calls for the number of targets of services that have `scaling`, while this gateway gives orders. The
/// decision is in core/scaling; what is needed for it is what the planner of loads has too.
#pragma once

#include "core/scaling/autoscaler.hpp"
#include "programs/gateway/order_giver.hpp"
#include "programs/gateway/peers.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace waxwinglb::programs::gateway {

class scaling {
public:
    struct dependencies {
        const dispatcher& dispatch;
        const peers& others;
        const order_giver& orders;
        std::function<bool()> switched_on; // the settings ask for autoscaling
        /// Sends a call as the holder of a duty. A later call for the same subject replaces an unsent one.
        std::function<void(const std::string& subject, const std::string& path, const std::string& body)>
            enqueue;
    };
    scaling(gateway_context& context, dependencies used)
        : context_(context), dependencies_(std::move(used)) {}

    void change_members(const std::map<std::string, store_watch::member>& members);
    void step(); // evaluates about once a second

private:
    /// Demand for one service, from all gateways.
    struct demand_sum {
        int running = 0;
        int waiting = 0;
        double per_second = 0;
        std::set<std::string> models_in_use;
    };
    void evaluate(const core::fleet::service& service);
    [[nodiscard]] demand_sum sum_demand(const std::string& service) const;
    void add_use(const std::string& service, const std::string& target, const core::fleet::model_ref& ref,
                 int running, demand_sum& to) const;
    [[nodiscard]] core::scaling::observation observe(const core::fleet::service& service) const;
    void add_targets(const core::fleet::service& service, core::scaling::observation& to) const;
    void add_models(const core::fleet::engine_spec& engine, const std::string& service,
                    const std::set<std::string>& in_use, core::scaling::observation& to) const;
    [[nodiscard]] bool serves(const core::fleet::target& target, const std::string& service) const;

    gateway_context& context_;
    dependencies dependencies_;
    std::set<std::string> data_centres_;                     // of the gateways
    std::map<std::string, core::scaling::autoscaler> known_; // by service
    core::common::time_point evaluate_at_{};
};

} // namespace waxwinglb::programs::gateway
