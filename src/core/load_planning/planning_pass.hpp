/// Private to the planner: one pass over its input.
#pragma once

#include "core/load_planning/planner.hpp"

#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwinglb::core::load_planning {

enum class copy_tier { memory, disk, store };

/// One planning pass over the input; each decision is applied to it.
///
/// The pass looks at each target for each model that requests wait for. What it needs to know of a model or a
/// target there is worked out once (model_facts, room_facts): hundreds of targets and models would otherwise
/// cost more than the interval between two passes.
class planning_pass {
public:
    planning_pass(planner_input input, const planner_limits& limits, common::time_point now);

    std::vector<planned_order> run();

private:
    struct candidate {
        target_state* target = nullptr;
        copy_tier copy = copy_tier::store;
        std::vector<std::string> victims; // models to unload first
        common::milliseconds wait{0};     // until the target takes an order
        double cost_ms = 0;
    };

    // ---- facts, kept up to date during the pass --------------------------------------------------

    struct model_facts {
        demand all;            // including requests for its adapters
        int replicas = 0;      // on targets that serve
        double capacity = 0;   // speeds of these targets
        double planned = 0;    // speeds of targets where a place for the model is being made
        bool has_copy = false; // loaded, in memory or on disk at any target that isn't leaving
        bool leaves = false;   // loaded at a target that is leaving
    };
    /// Which models may be unloaded for another one.
    enum class kept_models {
        in_use,      // those in use, and the only replica of a model that requests wait for
        in_demand,   // also those loaded just now, and what is needed for present demand
        one_of_each, // also the last replica of any model
    };
    /// Idle for at least this long, and not kept.
    using unload_rule = std::pair<common::milliseconds, kept_models>;
    /// What can be unloaded at a target for another model.
    struct room_facts {
        double free_mb = 0;                  // beyond the part kept for adapters
        std::vector<std::string> unloadable; // fewest arrivals first
    };

    void add_holdings(const target_state& target);
    [[nodiscard]] const model_facts& facts_of(const std::string& model) const;
    /// `model` is being loaded at `target` from now on.
    void note_load(target_state& target, const std::string& model);
    /// `model` is being unloaded at `target` from now on; its memory isn't free yet.
    void note_unload(const target_state& target, const std::string& model);
    /// Another number of replicas changes the arrivals at each of them.
    void forget_rooms(const std::string& model);

    // ---- demand ----------------------------------------------------------------------------------

    struct model_need {
        std::string model;
        demand all; // including requests for its adapters
    };

    /// Models of the engine with any demand, by name.
    [[nodiscard]] std::vector<model_need> needs_by_name() const;

    [[nodiscard]] std::vector<model_need> needs_in_order() const;

    [[nodiscard]] int replicas_of(const std::string& model) const { return facts_of(model).replicas; }

    // ---- memory of a target ----------------------------------------------------------------------

    [[nodiscard]] double used_mb(const target_state& target) const;
    [[nodiscard]] double spec_mb(const std::string& model) const;

    /// Memory (MB) kept free for adapters, so that a target full of models can still load some.
    [[nodiscard]] double adapter_reserve() const;

    // ---- unloading -------------------------------------------------------------------------------

    [[nodiscard]] const room_facts& room_at(const target_state& target, const unload_rule& rule) const;
    /// True if a model may be unloaded for another one: idle for long enough, not loading, no request runs on
    /// it and none waits for its only replica.
    [[nodiscard]] bool may_be_unloaded(const target_state& target, const std::string& model,
                                       const unload_rule& rule) const;
    [[nodiscard]] bool is_kept(const target_state& target, const std::string& model, kept_models kept) const;
    /// Replicas at targets of the usual speed that the requests of the model need.
    [[nodiscard]] double replicas_needed(const std::string& model) const;

    [[nodiscard]] room_facts find_room(const target_state& target, const unload_rule& rule) const;

    /// Models to unload so that `model` fits, fewest arrivals first; nullopt if it can't be made to fit.
    [[nodiscard]] std::optional<std::vector<std::string>>
    victims_for(const target_state& target, const std::string& model, const unload_rule& rule) const;
    /// Requests per second that each of the model's replicas receives.
    [[nodiscard]] double arrivals_per_replica(const std::string& model) const;

    // ---- choosing a target -----------------------------------------------------------------------

    [[nodiscard]] copy_tier copy_of(const target_state& target, const std::string& model) const;
    [[nodiscard]] common::milliseconds load_time(const std::string& model, copy_tier copy) const;

    /// Time until the target takes an order; nullopt if unknown.
    [[nodiscard]] std::optional<common::milliseconds> wait_for(const target_state& target) const;

    /// Constraints on the targets where a model may be loaded.
    struct target_search {
        common::milliseconds idle{0}; // models idle for at least this long may be unloaded for it
        bool from_store = true;
        double max_busy_share = 1; // fraction of a target's slots that may be in use
        bool may_wait = true;      // for a target that has a copy but doesn't take orders yet
        /// A model that loses its only replica may have at most so many requests per second.
        double max_lost_rate = std::numeric_limits<double>::max();
        kept_models kept = kept_models::in_use;
        const std::set<std::string>* not_at = nullptr; // targets that are left out
    };

    /// The target with the lowest cost, in milliseconds: the time until the model is ready there, plus
    /// penalties for the other models and requests that the load delays.
    [[nodiscard]] std::optional<candidate> best_target(const std::string& model, const target_search& where);

    [[nodiscard]] bool loses_more(const std::vector<std::string>& victims, double rate) const;

    [[nodiscard]] double speed_of(const target_state& target) const;

    // ---- loads of models -------------------------------------------------------------------------

    /// Loads the models for which a place was made in an earlier pass, if they are still needed. Without
    /// this, each pass would choose other targets while the unloads are under way.
    void use_rooms();

    void load_requested_models();

    /// The earliest time at which a serving target has the model ready; nullopt if none holds or loads it.
    [[nodiscard]] std::optional<common::time_point> earliest_ready(const std::string& model) const;
    /// True once the oldest request has waited longer than a load from the weight store takes. The target
    /// that was expected to take orders soon may never do so, so any other target is used then.
    [[nodiscard]] bool waited_too_long(const model_need& need) const;

    /// Loads models in use whose only holders are leaving, before requests wait for them: the most demanded
    /// first. One takes the place of another's only replica only where it has more demand.
    void replace_leaving_replicas();

    /// Loads models that no target has a copy of while the weight store has capacity to spare.
    void make_first_copies();

    /// A target takes one order at a time.
    void mark_busy(target_state& target, common::milliseconds busy_for) const;

    void issue_load(const candidate& chosen, const std::string& model, const std::string& why);

    // ---- replicas of busy models -----------------------------------------------------------------

    /// Adds a replica of each busy model if a target has room.
    void add_replicas();

    /// Adds replicas of busy models until the speeds of their targets suffice: one of each model in turn,
    /// those that lack most first, so that no model takes all targets.
    void add_replicas_by_speed();
    /// Adds one replica, and subtracts it from what is missing; nothing is missing any more if no target has
    /// room.
    void add_replica(const std::string& model, double& missing, std::set<std::string>& chosen_before);

    [[nodiscard]] bool is_loading(const std::string& model) const;

    // ---- adapters --------------------------------------------------------------------------------

    void load_requested_adapters();

    void load_adapter(const fleet::model_ref& ref);
    [[nodiscard]] bool has_adapter_room(const target_state& target) const;
    [[nodiscard]] std::optional<fleet::model_ref> idle_adapter(const target_state& target) const;

    const fleet::engine_spec& engine_;
    planner_limits limits_;
    common::time_point now_;
    std::vector<target_state> targets_;
    std::map<fleet::model_ref, demand> demands_;
    int store_loads_;
    double adapter_reserve_; // MB
    std::unordered_map<std::string, model_facts> facts_;
    mutable std::vector<std::map<unload_rule, room_facts>> rooms_; // by target, by rule; worked out on use
    std::vector<planned_order> orders_;
};

} // namespace waxwinglb::core::load_planning
