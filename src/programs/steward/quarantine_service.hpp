/// Quarantine of requests that crashed targets. The holder of the model's replica set keeps it and sends it
/// to routers with the set's views and to the agents of the service as notices.
#pragma once

#include "core/quarantine/quarantine.hpp"
#include "programs/steward/context.hpp"
#include "programs/steward/targets.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds notice_interval{5'000}; // repeated for agents that were unreachable

class quarantine_service {
public:
    quarantine_service(steward_context& context, const target_table& targets)
        : context_(context), targets_(targets) {}

    void on_acquired(int shard, const nlohmann::json& state, core::common::time_point now);
    void on_lost(int shard);
    void encode(int shard, nlohmann::json& state, core::common::time_point now) const;

    void on_crash_report(const wire::crash_report& report, int shard, core::common::time_point now);
    void tick(core::common::time_point now);

    /// Active entries of one model, for views and notices.
    [[nodiscard]] std::vector<wire::quarantine> entries(const std::string& service, const std::string& model,
                                                        core::common::time_point now) const;

private:
    struct set_record {
        int shard = 0;
        core::quarantine::record record{core::quarantine::record_options{}};
    };
    void notify(const std::string& service, const std::string& model, core::common::time_point now) const;

    steward_context& context_;
    const target_table& targets_;
    std::map<std::pair<std::string, std::string>, set_record> sets_; // by service and model
    core::common::time_point notified_at_{};
};

} // namespace waxwinglb::programs::steward
