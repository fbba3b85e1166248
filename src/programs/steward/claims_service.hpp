/// Claims of the shards that this steward holds: questions of routers, and the calls of their logs to the
/// store.
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

    void acquired(int shard);
    void lost(int shard); // routers ask the next holder again

    void claim(const edge::link_event& event, const wire::claim_request& request, int shard,
               core::common::time_point now);
    void outcome(const edge::link_event& event, const wire::claim_outcome& message, int shard,
                 core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);
    void tick(core::common::time_point now);

private:
    struct shard_claims {
        core::claims::claim_log log;
        std::int64_t epoch = 0; // tells answers to an earlier log of this shard apart
    };
    struct asker {
        edge::link_id link = 0;
        std::int64_t call = 0;
        int shard = 0;
        std::string key;
        bool outcome = false;
    };
    void advance(int shard, shard_claims& one, core::common::time_point now);
    void carry_out(int shard, const shard_claims& one, const core::claims::step& step,
                   core::common::time_point now);
    void tell(const core::claims::answer& answer);
    core::claims::ticket remember(const edge::link_event& event, int shard, const std::string& key,
                                  bool outcome);

    steward_context& context_;
    std::map<int, shard_claims> shards_;
    std::map<core::claims::ticket, asker> askers_;
    core::claims::ticket last_ticket_ = 0;
    std::int64_t last_epoch_ = 0;
    prometheus::Counter& granted_;
    prometheus::Counter& refused_;
    prometheus::Counter& writes_;
};

} // namespace waxwinglb::programs::steward
