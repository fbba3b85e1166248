/// Claims of calls that run at most once: requested before the run; the outcome is reported after it. Both
/// messages are resent until they are answered.
#pragma once

#include "core/common/time.hpp"
#include "programs/router/agents.hpp"
#include "programs/router/directory.hpp"
#include "programs/router/rates.hpp"

#include <map>
#include <string>

namespace waxwinglb::programs::router {

/// Answer kept by an agent, which may drop it once the claim's outcome is stored.
struct retained_answer {
    std::string address;
    wire::ack_request ack;
};

class claim_tracker {
public:
    claim_tracker(edge::link_hub& links, steward_directory& stewards, agent_links& agents,
                  const router_settings& settings);

    void request_claim(call_id call, const wire::claim_record& record, core::common::time_point deadline,
                       core::common::time_point now);
    void stop_requesting(call_id call) { pending_claims_.erase(call); }

    /// Resends the outcome until it is stored or `until` has passed.
    void report_outcome(const wire::claim_record& record, retained_answer retained,
                        core::common::time_point until, core::common::time_point now);
    void handle_outcome_ack(const std::string& key, bool stored);

    void tick(core::common::time_point now);
    [[nodiscard]] bool all_settled() const { return pending_outcomes_.empty(); }

private:
    struct pending_claim {
        wire::claim_request request;
        core::common::time_point deadline;
        core::common::time_point sent{};
    };
    struct pending_outcome {
        wire::claim_outcome message;
        retained_answer retained;
        core::common::time_point until;
        core::common::time_point sent{};
    };
    bool send_claim_request(call_id call, pending_claim& pending, core::common::time_point now);
    bool send_outcome(pending_outcome& pending, core::common::time_point now);
    [[nodiscard]] std::optional<edge::link_id> holder_of(const std::string& key,
                                                         core::common::time_point now);

    edge::link_hub& links_;
    steward_directory& stewards_;
    agent_links& agents_;
    const router_settings& settings_;
    std::map<call_id, pending_claim> pending_claims_;
    std::map<std::string, pending_outcome> pending_outcomes_; // by claim key
};

} // namespace waxwinglb::programs::router
