/// Calls for the number of targets of services that have `scaling`, while this gateway gives orders. The
/// decision is in core/scaling; what is needed for it is what the planner of loads has too.
#pragma once

#include "core/scaling/autoscaler.hpp"
#include "programs/gateway/duties.hpp"
#include "programs/gateway/order_giver.hpp"
#include "programs/gateway/peers.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace waxwinglb::programs::gateway {

class scaling {
public:
    struct dependencies {
        const dispatcher& dispatch;
        const peers& others;
        const order_giver& orders;
        duties& calls;
    };
    scaling(gateway_context& context, dependencies used) : context_(context), dependencies_(used) {}

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
    /// A call without a final answer.
    struct open_call {
        std::string body;
        core::common::time_point enqueued_at{};
    };
    void evaluate(const core::fleet::service& service);
    void call(const std::string& subject, const std::string& body);
    void repeat_dropped_calls();
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
    std::optional<std::int64_t> token_;                      // of the duties when they were last evaluated
    std::map<std::string, open_call> open_calls_;            // by subject
    core::common::time_point evaluate_at_{};
};

} // namespace waxwinglb::programs::gateway
