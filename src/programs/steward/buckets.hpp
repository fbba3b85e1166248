/// Customers' buckets of the shards that this steward holds, and the shares of their rates.
#pragma once

#include "core/limits/bucket.hpp"
#include "core/limits/shares.hpp"
#include "programs/steward/context.hpp"
#include "programs/steward/shards.hpp"
#include "programs/steward/targets.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

constexpr int grants_per_event = 100; // one in so many grants enters the time line

class bucket_service {
public:
    bucket_service(steward_context& context, target_table& targets);

    /// The parts of the shard's stored state that this service owns.
    void acquired(int shard, const nlohmann::json& state, std::int64_t fencing, core::common::time_point now);
    /// The shard's new shares are part of decision `generation`; `stored` puts them into force.
    void awaiting(int shard, std::int64_t generation);
    void stored(int shard, std::int64_t generation, core::common::time_point now);
    void written(int shard, core::common::time_point now); // the newest write of the object has taken effect
    void lapsed(int shard, core::common::time_point now);  // term over, nobody else seen: half of the share
    void regained(int shard, core::common::time_point now);
    void deposed(int shard, core::common::time_point now); // another holder was seen: grants nothing more
    void encode(int shard, bool stopping, nlohmann::json& state, core::common::time_point now);

    /// `lease_held`: checked at this very action. A draw that needs a write of the shard's object waits for
    /// it.
    void draw(const edge::link_event& event, const wire::draw_request& request, int shard, bool lease_held,
              core::common::time_point now);
    void stood_down(const wire::stood_down& message, core::common::time_point now);
    /// Shards whose shares changed and have to be stored.
    std::vector<int> tick(core::common::time_point now);

    [[nodiscard]] std::int64_t fencing(int shard) const; // 0: not held
    [[nodiscard]] bool decides(int shard) const;         // also without a valid term, at half its share

private:
    struct handed_over {
        core::limits::bucket_balance balance;
        std::int64_t fencing = 0;
    };
    struct waiting_draw {
        edge::link_id link = 0;
        std::int64_t call = 0;
        wire::draw_request request;
        core::common::time_point until{}; // then it is answered with what is there
    };
    struct shard_buckets {
        core::limits::shares shares;                 // in force: as the store has them
        std::optional<core::limits::shares> pending; // to be stored, then in force
        std::int64_t awaited = 0;                    // generation that carries `pending`
        std::int64_t fencing = 0;
        bool ready = false; // the store has this holder's first shares
        bool lease_valid = true;
        core::common::time_point since{}; // of holding
        std::map<std::string, core::limits::bucket> buckets;
        std::map<std::string, handed_over> balances; // left by a holder that stopped as planned
        std::map<std::string, core::limits::predecessor_state> inherited; // set aside by the former holder
        std::vector<waiting_draw> waiting;                                // for the next write
        bool write_wanted = false;
    };
    core::limits::bucket* find(shard_buckets& shard, const std::string& customer,
                               core::common::time_point now);
    [[nodiscard]] core::limits::bucket_limits limits_of(const shard_buckets& shard,
                                                        const core::config::customer& customer) const;
    void apply_limits(shard_buckets& shard, core::common::time_point now);
    void make_buckets(int shard, core::common::time_point now);
    void grant(shard_buckets& shard, const waiting_draw& draw, core::common::time_point now);
    void refuse(const waiting_draw& draw, wire::refusal::type reason);
    void answer(const waiting_draw& draw, const wire::draw_result& result);

    steward_context& context_;
    target_table& targets_;
    std::map<int, shard_buckets> shards_;
    std::int64_t config_revision_ = 0;
    std::int64_t grants_ = 0;
    prometheus::Counter& granted_tokens_;
};

} // namespace waxwinglb::programs::steward
