/// Replica sets of the shards that this steward holds: views for routers, decisions, orders to agents.
///
/// A decision is written into the shard's object first; its orders are sent once it is stored. A plain
/// service has no decisions: every usable target serves it.
#pragma once

#include "core/placement/idle_policy.hpp"
#include "core/placement/replica_set.hpp"
#include "programs/steward/context.hpp"
#include "programs/steward/quarantine_service.hpp"
#include "programs/steward/shards.hpp"
#include "programs/steward/slots.hpp"
#include "programs/steward/targets.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds view_validity{3'000};        // a router stops using an older view
constexpr core::common::milliseconds view_resend_interval{1'000}; // an unchanged view is repeated
constexpr core::common::milliseconds plan_interval{250}; // repeats planning for changes over time alone
constexpr core::common::milliseconds view_subscription_ttl{30'000}; // dropped without a request for so long

constexpr core::common::milliseconds default_load_estimate{5'000}; // for models without a configured estimate

/// nullptr if the model is not in the report.
[[nodiscard]] const wire::loaded_model* find_model(const wire::target_report& report,
                                                   const std::string& model);
/// nullptr if the target is not in the stored decision.
[[nodiscard]] const core::placement::member* find_member(const core::placement::replica_set& set,
                                                         const std::string& target);

/// Identifies a replica set; `model` is empty for a plain service.
struct set_name {
    std::string service;
    std::string model;
    auto operator<=>(const set_name&) const = default; // NOLINT(modernize-use-nullptr)
    [[nodiscard]] std::string text() const { return model.empty() ? service : service + "/" + model; }
};

class replica_service {
public:
    replica_service(steward_context& context, target_table& targets, slot_client& slots,
                    const quarantine_service& quarantine)
        : context_(context), targets_(targets), slots_(slots), quarantine_(quarantine) {}

    void on_acquired(int shard, const nlohmann::json& state, std::int64_t fencing);
    void on_stored(int shard, std::int64_t generation, core::common::time_point now);
    void on_lost(int shard, core::common::time_point now); // routers use the last views until they expire
    void encode(int shard, nlohmann::json& state) const;

    void on_view_request(const edge::link_event& event, const wire::view_request& request, int shard,
                         core::common::time_point now);
    void on_report(const target_entry& target, core::common::time_point now);
    void on_order_result(const wire::order_result& result, const std::string& service,
                         core::common::time_point now);
    void on_link_closed(edge::link_id link);

    /// Plans, and sends orders and views. `may_decide` returns whether decisions may be made for a shard now.
    /// Returns the sets with a new decision; the caller has their shards stored and calls await_stored().
    std::vector<set_name> tick(const std::function<bool(int)>& may_decide, core::common::time_point now);
    void await_stored(const set_name& name, std::int64_t generation); // of the write with the decision

    [[nodiscard]] std::set<std::string> services() const; // services whose agents have to be watched
    [[nodiscard]] int shard_of(const set_name& name) const;
    void on_quarantine_changed(const std::string& service, const std::string& model);

private:
    struct subscriber {
        core::common::time_point asked_at{};
        std::int64_t call = 0;
        std::string router;
    };
    struct set_entry {
        core::placement::replica_set set;
        int shard = 0;
        std::int64_t awaited_generation = 0; // generation of the open decision; 0: none
        std::map<edge::link_id, subscriber> subscribers;
        wire::replica_view sent; // last view sent
        core::common::time_point sent_at{};
        core::common::time_point planned_at{};
        core::placement::gap_histogram gaps;
        core::common::time_point busy_until{}; // last time of use
        bool busy = false;
        bool dirty = true;                  // plan and view again at the next tick
        core::placement::decision proposed; // the open decision, while set.open()
        std::string customer;               // customer of the first request that waited for the model
    };
    set_entry& entry_of(const set_name& name);
    [[nodiscard]] const core::config::model* model_of(const set_name& name) const;
    void record_use(set_entry& entry, const set_name& name, core::common::time_point now);
    bool plan(const set_name& name, set_entry& entry, core::common::time_point now);
    void send_orders(const set_name& name, set_entry& entry, core::common::time_point now);
    void send_order(const set_name& name, const core::placement::order& order, const target_entry& target);
    void add_load(const set_entry& entry, core::placement::plan_input& input) const;
    [[nodiscard]] wire::replica_view make_view(const set_name& name, const set_entry& entry,
                                               core::common::time_point now) const;
    void add_plain(const set_name& name, wire::replica_view& out, core::common::time_point now) const;
    void add_members(const set_name& name, const set_entry& entry, wire::replica_view& out,
                     core::common::time_point now) const;
    void push_views(const set_name& name, set_entry& entry, core::common::time_point now);
    [[nodiscard]] core::common::duration estimate(const set_name& name, const set_entry& entry,
                                                  core::common::time_point now) const;

    steward_context& context_;
    target_table& targets_;
    slot_client& slots_;
    const quarantine_service& quarantine_;
    edge::logger log_ = edge::make_logger("steward.replicas");
    std::map<int, std::int64_t> fencing_; // of each shard that is held here
    std::map<set_name, set_entry> sets_;
};

} // namespace waxwinglb::programs::steward
