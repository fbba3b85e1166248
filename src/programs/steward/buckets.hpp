/// Token buckets of customers in the shards that this steward holds, and its shares of their rates.
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

constexpr int grants_per_event = 100; // one of this many grants is added to the time line

class bucket_service {
public:
    bucket_service(steward_context& context, target_table& targets);

    /// Takes over the buckets and shares in the shard's stored state.
    void on_acquired(int shard, const nlohmann::json& state, std::int64_t fencing,
                     core::common::time_point now);
    /// Records that the shard's new shares are part of decision `generation`. They take effect when
    /// on_stored() reports that generation.
    void await_stored(int shard, std::int64_t generation);
    void on_stored(int shard, std::int64_t generation, core::common::time_point now);
    void on_written(int shard, core::common::time_point now); // the newest write took effect
    void on_lapsed(int shard, core::common::time_point now);  // lease expired: uses half of its share
    void on_regained(int shard, core::common::time_point now);
    void on_deposed(int shard, core::common::time_point now); // lost or handed over: stops granting
    void encode(int shard, bool stopping, nlohmann::json& state, core::common::time_point now);

    /// `lease_held`: whether the lease is valid at `now`. A draw that needs a write of the shard's object
    /// waits for that write.
    void on_draw_request(const edge::link_event& event, const wire::draw_request& request, int shard,
                         bool lease_held, core::common::time_point now);
    void on_stood_down(const wire::stood_down& message, core::common::time_point now);
    /// Returns the shards whose state has to be written: their shares changed or a draw waits for a write.
    std::vector<int> tick(core::common::time_point now);

    [[nodiscard]] std::int64_t fencing(int shard) const; // 0: not held
    [[nodiscard]] bool decides(int shard) const;         // also after the lease has expired

private:
    struct handed_over_balance {
        core::limits::bucket_balance balance;
        std::int64_t fencing = 0;
    };
    struct waiting_draw {
        edge::link_id link = 0;
        std::int64_t call = 0;
        wire::draw_request request;
        core::common::time_point until{}; // after this it is granted the tokens available without a write
    };
    struct shard_buckets {
        core::limits::shares shares;                 // in use: the version in the store
        std::optional<core::limits::shares> pending; // not stored yet; used once stored
        std::int64_t awaited_generation = 0;         // generation whose write contains `pending`
        std::int64_t fencing = 0;
        bool ready = false; // this holder's first shares are in the store
        bool lease_valid = true;
        core::common::time_point since{}; // when this holder's shares were first stored
        std::map<std::string, core::limits::bucket> buckets;
        std::map<std::string, handed_over_balance> balances;              // left by a holder that handed over
        std::map<std::string, core::limits::predecessor_state> inherited; // reserves of the previous holder
        std::vector<waiting_draw> waiting; // draws that wait for the next write
        bool write_needed = false;
    };
    core::limits::bucket* find_or_add(shard_buckets& shard, const std::string& customer,
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
