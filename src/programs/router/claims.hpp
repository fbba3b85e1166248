/// Claims of calls that run at most once: asked before a run, settled after it, both sent until answered.
#pragma once

#include "core/common/time.hpp"
#include "programs/router/agents.hpp"
#include "programs/router/directory.hpp"
#include "programs/router/rates.hpp"

#include <map>
#include <string>

namespace waxwinglb::programs::router {

/// Answer at an agent that may be dropped once the claim's outcome is stored.
struct kept_answer {
    std::string address;
    wire::ack_request ack;
};

class claim_book {
public:
    claim_book(edge::link_hub& links, steward_directory& stewards, agent_links& agents,
               const router_settings& settings);

    void ask(call_id call, const wire::claim_record& record, core::common::time_point deadline,
             core::common::time_point now);
    void stop_asking(call_id call) { asked_.erase(call); }

    /// Keeps telling the outcome until it is stored or `until` has passed.
    void settle(const wire::claim_record& record, kept_answer kept, core::common::time_point until,
                core::common::time_point now);
    void stored(const std::string& key, bool stored);

    void tick(core::common::time_point now);
    [[nodiscard]] bool all_settled() const { return outcomes_.empty(); }

private:
    struct question {
        wire::claim_request request;
        core::common::time_point deadline;
        core::common::time_point sent{};
    };
    struct outcome {
        wire::claim_outcome message;
        kept_answer kept;
        core::common::time_point until;
        core::common::time_point sent{};
    };
    bool send_question(call_id call, question& one, core::common::time_point now);
    bool send_outcome(outcome& one, core::common::time_point now);
    [[nodiscard]] std::optional<edge::link_id> holder_of(const std::string& key,
                                                         core::common::time_point now);

    edge::link_hub& links_;
    steward_directory& stewards_;
    agent_links& agents_;
    const router_settings& settings_;
    std::map<call_id, question> asked_;
    std::map<std::string, outcome> outcomes_; // by claim key
};

} // namespace waxwinglb::programs::router
