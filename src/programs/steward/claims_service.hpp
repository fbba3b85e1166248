/// Claims of the shards that this steward holds: answers requests of routers and executes the store calls
/// of the claim logs.
#pragma once

#include "core/claims/claim_log.hpp"
#include "programs/steward/context.hpp"

#include <prometheus/counter.h>

#include <map>
#include <string>

namespace waxwinglb::programs::steward {

class claims_service {
public:
    explicit claims_service(steward_context& context);

    void on_acquired(int shard);
    void on_lost(int shard); // answers open requests with not_holder; routers repeat them to the next holder

    void on_claim_request(const edge::link_event& event, const wire::claim_request& request, int shard,
                          core::common::time_point now);
    void on_claim_outcome(const edge::link_event& event, const wire::claim_outcome& message, int shard,
                          core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);
    void tick(core::common::time_point now);

private:
    struct shard_claims {
        core::claims::claim_log log;
        std::int64_t epoch = 0; // answers to calls of an earlier log of this shard have another epoch
    };
    struct requester {
        edge::link_id link = 0;
        std::int64_t call = 0;
        int shard = 0;
        std::string key;
        bool outcome = false;
    };
    void advance(int shard, shard_claims& claims, core::common::time_point now);
    void execute(int shard, const shard_claims& claims, const core::claims::step& step,
                 core::common::time_point now);
    void send_answer(const core::claims::answer& answer);
    core::claims::ticket add_requester(const edge::link_event& event, int shard, const std::string& key,
                                       bool outcome);

    steward_context& context_;
    std::map<int, shard_claims> shards_;
    std::map<core::claims::ticket, requester> requesters_;
    core::claims::ticket last_ticket_ = 0;
    std::int64_t last_epoch_ = 0;
    prometheus::Counter& granted_;
    prometheus::Counter& refused_;
    prometheus::Counter& writes_;
};

} // namespace waxwinglb::programs::steward
