/// Replica sets of the shards that this steward holds: views for routers, decisions, orders to agents.
///
/// A decision is written into the shard's object first; its orders follow once the store has it. A model of a
/// plain service has no decision: every target that reports ready serves it.
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

constexpr core::common::milliseconds view_valid{3'000}; // a router stops using an older view
constexpr core::common::milliseconds view_again{1'000}; // an unchanged view is sent again
constexpr core::common::milliseconds plan_every{250};   // for changes that no message brings
constexpr core::common::milliseconds view_subscribed{
    30'000}; // a router that didn't ask for longer is dropped

constexpr core::common::milliseconds default_load_estimate{5'000}; // of models without one

/// nullptr if the report doesn't name the model.
[[nodiscard]] const wire::loaded_model* find_model(const wire::target_report& report,
                                                   const std::string& model);
/// nullptr if the stored decision doesn't name the target.
[[nodiscard]] const core::placement::member* find_member(const core::placement::replica_set& set,
                                                         const std::string& target);

/// Which set: model is empty for a plain service.
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

    void acquired(int shard, const nlohmann::json& state, std::int64_t fencing);
    void stored(int shard, std::int64_t generation, core::common::time_point now);
    void lost(int shard, core::common::time_point now); // views end with their last term
    void encode(int shard, nlohmann::json& state) const;

    void view(const edge::link_event& event, const wire::view_request& request, int shard,
              core::common::time_point now);
    void reported(const target_entry& target, core::common::time_point now);
    void answered(const wire::order_result& result, const std::string& service, core::common::time_point now);
    void link_closed(edge::link_id link);

    /// Plans, sends orders and views. `may_decide` tells whether a shard is held now; shards whose state
    /// changed are returned with the sets concerned, to be stored and then `awaiting`.
    std::vector<set_name> tick(const std::function<bool(int)>& may_decide, core::common::time_point now);
    void awaiting(const set_name& name, std::int64_t generation); // the decision is part of that write

    [[nodiscard]] std::set<std::string> services() const; // whose agents have to be watched
    [[nodiscard]] int shard_of(const set_name& name) const;
    void quarantine_changed(const std::string& service, const std::string& model);

private:
    struct subscriber {
        core::common::time_point asked_at{};
        std::int64_t call = 0;
        std::string router;
    };
    struct set_entry {
        core::placement::replica_set set;
        int shard = 0;
        std::int64_t awaited = 0; // generation of the open decision; 0: none
        std::map<edge::link_id, subscriber> subscribers;
        wire::replica_view sent; // last view, without its changing times
        core::common::time_point sent_at{};
        core::common::time_point planned_at{};
        core::placement::gap_histogram gaps;
        core::common::time_point used_at{}; // last time that a replica was busy
        bool busy = false;
        bool dirty = true;                  // plan and view again at the next tick
        core::placement::decision proposed; // while set.open()
        std::string customer;               // whose request woke the model
    };
    set_entry& entry_of(const set_name& name);
    [[nodiscard]] const core::config::model* model_of(const set_name& name) const;
    void note_use(set_entry& entry, const set_name& name, core::common::time_point now);
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
    std::map<int, std::int64_t> fencing_; // of each shard whose sets are decided here
    std::map<set_name, set_entry> sets_;
};

} // namespace waxwinglb::programs::steward
