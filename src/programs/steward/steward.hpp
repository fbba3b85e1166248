/// The deciding thread of waxwing-steward: reads events from the ring, calls the core and executes the core's
/// decisions.
#pragma once

#include "programs/steward/buckets.hpp"
#include "programs/steward/claims_service.hpp"
#include "programs/steward/context.hpp"
#include "programs/steward/events.hpp"
#include "programs/steward/feed_service.hpp"
#include "programs/steward/replicas.hpp"
#include "programs/steward/shards.hpp"
#include "programs/steward/slots.hpp"
#include "programs/steward/targets.hpp"

#include <map>
#include <set>
#include <string>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds tick_interval{25};           // granularity of all timers
constexpr core::common::milliseconds max_stop_time{5'000};        // longest planned stop
constexpr core::common::milliseconds stood_down_interval{1'000};  // repeated: holders may change
constexpr core::common::milliseconds stood_down_duration{60'000}; // repeated for this long
constexpr core::common::milliseconds location_validity{1'000};    // of a location, at its receiver

/// Listens, connects and runs until the process is asked to stop; returns the exit code.
int run_steward(const steward_settings& settings, edge::program_context& program);

class steward {
public:
    steward(steward_context& context, event_ring& events);

    void run(); // returns once the process stops and all shards are handed over, or after max_stop_time

private:
    void take(edge::link_event&& event, core::common::time_point now);
    void take(store_event&& event, core::common::time_point now);
    void take(const page_event& event, core::common::time_point now);
    void take_message(const edge::link_event& event, core::common::time_point now);
    bool take_config_message(const edge::link_event& event, core::common::time_point now);
    bool take_shard_message(const edge::link_event& event, core::common::time_point now);
    bool take_agent_message(const edge::link_event& event, core::common::time_point now);

    void tick(core::common::time_point now);
    void take_changes(core::common::time_point now);
    void take_change(const shard_change& change, core::common::time_point now);
    void store_changes(core::common::time_point now);
    void connect_stewards();
    void announce_holder(int shard);
    void send_stood_down(core::common::time_point now);
    void locate(const edge::link_event& event, const wire::locate_request& request,
                core::common::time_point now);
    void refuse_not_holder(const edge::link_event& event, int shard);
    [[nodiscard]] int live_stewards() const;
    [[nodiscard]] std::string encode_state(int shard, bool stopping, core::common::time_point now);
    [[nodiscard]] std::string holder_address(int shard) const;
    template<class body_type, class handler>
    bool dispatch(const edge::link_event& event, handler&& handle);
    /// Like dispatch(), but refuses with not_holder unless this steward holds the shard of `name_of(body)`.
    template<class body_type, class naming, class handler>
    bool dispatch_to_holder(const edge::link_event& event, naming&& name_of, handler&& handle);

    /// A shard that was lost to another holder. Its buckets have been discarded.
    struct deposition {
        std::int64_t fencing = 0; // fencing number of the lost lease
        core::common::time_point at{};
    };

    steward_context& context_;
    event_ring& events_;
    edge::logger log_ = edge::make_logger("steward");
    feed_service feed_;
    target_table targets_;
    slot_service slots_;
    slot_client slot_client_;
    bucket_service buckets_;
    quarantine_service quarantine_;
    replica_service replicas_;
    claims_service claims_;
    shard_manager shard_manager_;
    int slots_shard_;
    std::map<int, deposition> deposed_; // by shard, until it is held again
    core::common::time_point stood_down_sent_at_{};
    std::map<edge::link_id, wire::hello> peers_;         // open links
    std::map<std::string, edge::link_id> steward_links_; // outbound, by address
    std::set<edge::link_id> connected_stewards_;         // open links of steward_links_
};

} // namespace waxwinglb::programs::steward
