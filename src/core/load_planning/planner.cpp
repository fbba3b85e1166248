#include "core/load_planning/planner.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <unordered_map>

namespace waxwinglb::core::load_planning {
namespace {

using common::milliseconds;
using common::time_point;
using fleet::model_ref;

enum class copy_tier { memory, disk, store };

constexpr milliseconds unload_time{100}; // usually two round trips; longer while requests of the model finish
constexpr milliseconds adapter_time{50}; // one round trip; an adapter itself loads in milliseconds
constexpr double unload_cost_ms = 30.0;  // for each model that has to be unloaded first
constexpr double victim_cost_ms = 300.0; // for each request per second that such a model receives
constexpr double least_rate_in_use = 0.02; // requests per second of a model that is still in use

// With planner_limits::by_speed:
constexpr double slowness_cost_ms = 400.0; // of a target of half the usual speed, against a usual one
constexpr milliseconds min_stay{4'000};    // a model loaded more recently isn't unloaded for a replica
constexpr double spare_share = 0.75;       // unloading a replica must leave the others this full at most
constexpr milliseconds idle_before_loss{10'000}; // a last replica may go only after as long without requests
constexpr double min_shortage = 0.01;            // replicas missing, from which another one is loaded
constexpr double urgent_shortage = 1.0;          // replicas missing, from which last replicas may go

/// One planning pass over the input; each decision is applied to it.
///
/// The pass looks at each target for each model that requests wait for. What it needs to know of a model or a
/// target there is worked out once (model_facts, room_facts): hundreds of targets and models would otherwise
/// cost more than the interval between two passes.
class planning_pass {
public:
    planning_pass(planner_input input, const planner_limits& limits, time_point now)
        : engine_(*input.engine), limits_(limits), now_(now), targets_(std::move(input.targets)),
          demands_(std::move(input.demands)), store_loads_(input.store_loads_under_way),
          adapter_reserve_(adapter_reserve()), rooms_(targets_.size()) {
        for (const auto& [ref, asked] : demands_)
            add_demand(facts_[ref.model].all, asked);
        for (const target_state& target : targets_)
            add_holdings(target);
    }

    std::vector<planned_order> run() {
        if (limits_.by_speed)
            use_rooms();
        load_requested_models();
        load_requested_adapters();
        replace_leaving_replicas();
        if (limits_.by_speed)
            add_replicas_by_speed();
        else
            add_replicas();
        make_first_copies();
        return std::move(orders_);
    }

private:
    struct candidate {
        target_state* target = nullptr;
        copy_tier copy = copy_tier::store;
        std::vector<std::string> victims; // models to unload first
        milliseconds wait{0};             // until the target takes an order
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
    using unload_rule = std::pair<milliseconds, kept_models>; // idle for at least this long, and not kept
    /// What can be unloaded at a target for another model.
    struct room_facts {
        double free_mb = 0;                  // beyond the part kept for adapters
        std::vector<std::string> unloadable; // fewest arrivals first
    };

    void add_holdings(const target_state& target) {
        for (const auto& [model, use] : target.models) {
            model_facts& facts = facts_[model];
            facts.replicas += target.serves ? 1 : 0;
            facts.capacity += target.serves ? target.speed : 0;
            facts.has_copy = facts.has_copy || !target.leaving;
            facts.leaves = facts.leaves || target.leaving;
        }
        if (target.leaving)
            return;
        for (const auto* copies : {&target.copies_in_memory, &target.copies_on_disk})
            for (const std::string& model : *copies)
                facts_[model].has_copy = true;
    }
    [[nodiscard]] const model_facts& facts_of(const std::string& model) const {
        static const model_facts none;
        const auto found = facts_.find(model);
        return found == facts_.end() ? none : found->second;
    }
    /// `model` is being loaded at `target` from now on.
    void note_load(target_state& target, const std::string& model) {
        target.models[model].last_used = now_;
        model_facts& facts = facts_[model];
        facts.replicas += target.serves ? 1 : 0;
        facts.capacity += target.serves ? target.speed : 0;
        facts.has_copy = true;
        forget_rooms(model);
    }
    /// `model` is being unloaded at `target` from now on; its memory isn't free yet.
    void note_unload(const target_state& target, const std::string& model) {
        if (!limits_.by_speed || !target.serves)
            return;
        model_facts& facts = facts_[model];
        --facts.replicas;
        facts.capacity -= target.speed;
        forget_rooms(model);
    }
    /// Another number of replicas changes the arrivals at each of them.
    void forget_rooms(const std::string& model) {
        for (std::size_t i = 0; i < targets_.size(); ++i)
            if (targets_[i].models.contains(model))
                rooms_[i].clear();
    }
    [[nodiscard]] const room_facts& room_at(const target_state& target, const unload_rule& rule) const {
        auto& known = rooms_[static_cast<std::size_t>(&target - targets_.data())];
        const auto found = known.find(rule);
        return found != known.end() ? found->second
                                    : known.emplace(rule, find_room(target, rule)).first->second;
    }

    // ---- demand ----------------------------------------------------------------------------------

    struct model_need {
        std::string model;
        demand all; // including requests for its adapters
    };

    /// Models of the engine with any demand, by name.
    [[nodiscard]] std::vector<model_need> needs_by_name() const {
        std::vector<model_need> needs;
        for (const auto& [ref, asked] : demands_)
            if ((needs.empty() || needs.back().model != ref.model) && engine_.models.contains(ref.model))
                needs.push_back({ref.model, facts_of(ref.model).all});
        return needs;
    }

    [[nodiscard]] std::vector<model_need> needs_in_order() const {
        std::vector<model_need> needs = needs_by_name();
        std::erase_if(needs, [](const model_need& need) { return need.all.waiting <= 0; });
        std::sort(needs.begin(), needs.end(), [](const model_need& a, const model_need& b) {
            return std::tie(a.all.priority, a.all.oldest) < std::tie(b.all.priority, b.all.oldest);
        });
        return needs;
    }

    [[nodiscard]] int replicas_of(const std::string& model) const { return facts_of(model).replicas; }

    // ---- memory of a target ----------------------------------------------------------------------

    [[nodiscard]] double used_mb(const target_state& target) const {
        double sum = 0;
        for (const auto& [model, use] : target.models)
            sum += spec_mb(model);
        for (const auto& [ref, use] : target.adapters)
            if (const auto spec = engine_.models.find(ref.model); spec != engine_.models.end())
                sum += spec->second.adapter_megabytes;
        return sum;
    }
    [[nodiscard]] double spec_mb(const std::string& model) const {
        const auto spec = engine_.models.find(model);
        return spec == engine_.models.end() ? engine_.megabytes : spec->second.megabytes;
    }

    /// Memory (MB) kept free for adapters, so that a target full of models can still load some.
    [[nodiscard]] double adapter_reserve() const {
        double largest = 0;
        for (const auto& [name, spec] : engine_.models)
            if (spec.adapters > 0)
                largest = std::max(largest, spec.adapter_megabytes);
        return largest * engine_.adapter_places;
    }

    // ---- choosing a target -----------------------------------------------------------------------

    [[nodiscard]] copy_tier copy_of(const target_state& target, const std::string& model) const {
        if (target.copies_in_memory.contains(model))
            return copy_tier::memory;
        return target.copies_on_disk.contains(model) ? copy_tier::disk : copy_tier::store;
    }
    [[nodiscard]] milliseconds load_time(const std::string& model, copy_tier copy) const {
        const fleet::model_spec& spec = engine_.models.at(model);
        switch (copy) {
        case copy_tier::memory:
            return spec.memory_load;
        case copy_tier::disk:
            return spec.disk_load;
        case copy_tier::store:
            break;
        }
        return spec.store_load;
    }

    /// True if a model may be unloaded for another one: idle for long enough, not loading, no request runs on
    /// it and none waits for its only replica.
    [[nodiscard]] bool may_be_unloaded(const target_state& target, const std::string& model,
                                       const unload_rule& rule) const {
        const auto& [idle, kept] = rule;
        const usage& use = target.models.at(model);
        if (use.running > 0 || target.coming.contains(model) || now_ - use.last_used < idle)
            return false;
        if (facts_of(model).all.waiting > 0 && replicas_of(model) <= 1)
            return false;
        return kept == kept_models::in_use || !is_kept(target, model, kept);
    }
    [[nodiscard]] bool is_kept(const target_state& target, const std::string& model, kept_models kept) const {
        const usage& use = target.models.at(model);
        const model_facts& facts = facts_of(model);
        if (now_ - use.loaded_at < min_stay)
            return true;
        if (facts.replicas <= 1)
            return kept == kept_models::one_of_each || now_ - use.last_used < idle_before_loss;
        return replicas_needed(model) > spare_share * (facts.capacity - (target.serves ? target.speed : 0));
    }
    /// Replicas at targets of the usual speed that the requests of the model need.
    [[nodiscard]] double replicas_needed(const std::string& model) const {
        const demand& all = facts_of(model).all;
        return static_cast<double>(all.running + all.waiting) / std::max(1, limits_.requests_per_replica);
    }

    [[nodiscard]] room_facts find_room(const target_state& target, const unload_rule& rule) const {
        room_facts room{engine_.megabytes - adapter_reserve_ - used_mb(target), {}};
        std::vector<std::tuple<double, time_point, std::string>> keyed;
        for (const auto& [name, use] : target.models)
            if (may_be_unloaded(target, name, rule))
                keyed.emplace_back(arrivals_per_replica(name), use.last_used, name);
        std::sort(keyed.begin(), keyed.end());
        for (auto& [arrivals, last_used, name] : keyed)
            room.unloadable.push_back(std::move(name));
        return room;
    }

    /// Models to unload so that `model` fits, fewest arrivals first; nullopt if it can't be made to fit.
    [[nodiscard]] std::optional<std::vector<std::string>>
    victims_for(const target_state& target, const std::string& model, const unload_rule& rule) const {
        const room_facts& known = room_at(target, rule);
        double room = known.free_mb - spec_mb(model);
        std::vector<std::string> chosen;
        for (const std::string& name : known.unloadable) {
            if (room >= 0)
                break;
            room += spec_mb(name);
            chosen.push_back(name);
        }
        if (room < 0)
            return std::nullopt;
        return chosen;
    }
    /// Requests per second that each of the model's replicas receives.
    [[nodiscard]] double arrivals_per_replica(const std::string& model) const {
        const model_facts& facts = facts_of(model);
        return facts.all.per_second / std::max(1, facts.replicas);
    }

    /// Time until the target takes an order; nullopt if unknown.
    [[nodiscard]] std::optional<milliseconds> wait_for(const target_state& target) const {
        if (target.takes_orders)
            return milliseconds{0};
        if (target.takes_orders_at <= now_ || target.takes_orders_at == time_point::max())
            return std::nullopt;
        return std::chrono::ceil<milliseconds>(target.takes_orders_at - now_);
    }

    /// Constraints on the targets where a model may be loaded.
    struct target_search {
        milliseconds idle{0}; // models idle for at least this long may be unloaded for it
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
    [[nodiscard]] std::optional<candidate> best_target(const std::string& model, const target_search& where) {
        std::optional<candidate> best;
        for (target_state& target : targets_) {
            if (!target.serves || target.models.contains(model))
                continue;
            if (where.not_at != nullptr && where.not_at->contains(target.id))
                continue;
            if (target.running > where.max_busy_share * engine_.slots * speed_of(target))
                continue;
            const copy_tier copy = copy_of(target, model);
            if (copy == copy_tier::store &&
                (!where.from_store || store_loads_ >= limits_.parallel_store_loads))
                continue;
            const auto wait = wait_for(target);
            if (!wait || (*wait > milliseconds{0} && (!where.may_wait || copy == copy_tier::store)))
                continue;
            auto victims = victims_for(target, model, {where.idle, where.kept});
            if (!victims || loses_more(*victims, where.max_lost_rate))
                continue;
            // A busy target runs the new model more slowly.
            double cost = static_cast<double>((*wait + load_time(model, copy)).count());
            cost += static_cast<double>(limits_.running_cost.count()) * target.running / speed_of(target);
            cost += slowness_cost_ms * (1 / speed_of(target) - 1);
            cost += unload_cost_ms * static_cast<double>(victims->size());
            for (const std::string& victim : *victims)
                cost += victim_cost_ms * arrivals_per_replica(victim);
            if (!best || cost < best->cost_ms)
                best = candidate{&target, copy, std::move(*victims), *wait, cost};
        }
        return best;
    }

    [[nodiscard]] bool loses_more(const std::vector<std::string>& victims, double rate) const {
        return std::any_of(victims.begin(), victims.end(), [&](const std::string& victim) {
            return replicas_of(victim) == 1 && facts_of(victim).all.per_second >= rate;
        });
    }

    [[nodiscard]] double speed_of(const target_state& target) const {
        return limits_.by_speed ? target.speed : 1;
    }

    /// A target takes one order at a time.
    void mark_busy(target_state& target, milliseconds busy_for) const {
        target.takes_orders = false;
        target.takes_orders_at = now_ + busy_for;
    }

    void issue_load(const candidate& chosen, const std::string& model, const std::string& why) {
        target_state& target = *chosen.target;
        if (chosen.wait > milliseconds{0}) {
            // No order yet: loading the copy there is cheapest once the target takes orders. Other models
            // that wait for this target wait for this load too.
            target.takes_orders_at += load_time(model, chosen.copy);
            return;
        }
        const milliseconds load = load_time(model, chosen.copy);
        mark_busy(target, chosen.victims.empty() ? load : load + unload_time);
        if (!chosen.victims.empty()) {
            orders_.push_back(
                {target.id, false, {chosen.victims.front(), {}}, false, "makes room for " + model, model});
            note_unload(target, chosen.victims.front());
            return;
        }
        const bool store = chosen.copy == copy_tier::store;
        store_loads_ += store ? 1 : 0;
        orders_.push_back({target.id, true, {model, {}}, store, why, {}});
        note_load(target, model);
        target.coming[model] = now_ + load;
    }

    // ---- steps -----------------------------------------------------------------------------------

    void load_requested_models() {
        for (const model_need& need : needs_in_order()) {
            const auto ready = earliest_ready(need.model);
            if ((ready && *ready <= now_) || facts_of(need.model).planned > 0)
                continue;
            const auto chosen =
                best_target(need.model, {limits_.settle, !ready, 1.0, !waited_too_long(need)});
            if (!chosen || (ready && now_ + chosen->wait + load_time(need.model, chosen->copy) >= *ready))
                continue;
            issue_load(*chosen, need.model, "requests wait for it");
        }
    }

    /// The earliest time at which a serving target has the model ready; nullopt if none holds or loads it.
    [[nodiscard]] std::optional<time_point> earliest_ready(const std::string& model) const {
        std::optional<time_point> earliest;
        if (replicas_of(model) == 0)
            return earliest;
        for (const target_state& target : targets_) {
            if (!target.serves || !target.models.contains(model))
                continue;
            const auto coming = target.coming.find(model);
            const time_point at = coming == target.coming.end() ? now_ : coming->second;
            earliest = earliest ? std::min(*earliest, at) : at;
        }
        return earliest;
    }
    /// True once the oldest request has waited longer than a load from the weight store takes. The target
    /// that was expected to take orders soon may never do so, so any other target is used then.
    [[nodiscard]] bool waited_too_long(const model_need& need) const {
        return now_ - need.all.oldest > load_time(need.model, copy_tier::store);
    }

    /// Loads models in use whose only holders are leaving, before requests wait for them: the most demanded
    /// first. One takes the place of another's only replica only where it has more demand.
    void replace_leaving_replicas() {
        std::vector<model_need> needs = needs_by_name();
        std::erase_if(needs, [&](const model_need& need) {
            const bool in_use = need.all.running > 0 || need.all.per_second >= least_rate_in_use;
            return !in_use || !facts_of(need.model).leaves || replicas_of(need.model) > 0;
        });
        std::stable_sort(needs.begin(), needs.end(), [](const model_need& a, const model_need& b) {
            return a.all.per_second > b.all.per_second;
        });
        for (const model_need& need : needs)
            if (const auto chosen =
                    best_target(need.model, {limits_.settle, true, 1.0, true, need.all.per_second}))
                issue_load(*chosen, need.model, "its holders are leaving");
    }

    /// Adds a replica of each busy model if a target has room.
    void add_replicas() {
        for (const auto& [model, all] : needs_by_name()) {
            const int replicas = replicas_of(model);
            const int concurrent = all.running + all.waiting;
            if (replicas == 0 || concurrent <= replicas * limits_.requests_per_replica)
                continue;
            if (is_loading(model))
                continue;
            if (const auto chosen = best_target(model, {limits_.settle, true, limits_.load_factor, true}))
                issue_load(*chosen, model, "its replicas are busy");
        }
    }

    /// Loads the models for which a place was made in an earlier pass, if they are still needed. Without
    /// this, each pass would choose other targets while the unloads are under way.
    void use_rooms() {
        for (target_state& target : targets_) {
            const std::string model = target.room_for;
            if (model.empty() || !target.serves || target.models.contains(model) ||
                !engine_.models.contains(model) || replicas_needed(model) <= facts_of(model).capacity)
                continue;
            if (!target.takes_orders) {
                facts_[model].planned += target.speed;
                continue;
            }
            const auto victims = victims_for(target, model, {limits_.settle, kept_models::one_of_each});
            const copy_tier copy = copy_of(target, model);
            const bool store_is_busy = store_loads_ >= limits_.parallel_store_loads;
            if (victims && victims->empty() && (copy != copy_tier::store || !store_is_busy))
                issue_load({&target, copy, {}, milliseconds{0}, 0}, model, "room was made for it");
        }
    }

    /// Adds replicas of busy models until the speeds of their targets suffice: one of each model in turn,
    /// those that lack most first, so that no model takes all targets.
    void add_replicas_by_speed() {
        struct shortage {
            std::string model;
            double missing = 0; // replicas at targets of the usual speed
            std::set<std::string> chosen;
        };
        std::vector<shortage> shortages;
        for (const auto& [model, all] : needs_by_name()) {
            const model_facts& facts = facts_of(model);
            const double missing = replicas_needed(model) - facts.capacity - facts.planned;
            if (facts.replicas > 0 && missing > min_shortage)
                shortages.push_back({model, missing, {}});
        }
        while (!shortages.empty()) {
            std::stable_sort(shortages.begin(), shortages.end(),
                             [](const auto& a, const auto& b) { return a.missing > b.missing; });
            for (shortage& one : shortages)
                add_replica(one.model, one.missing, one.chosen);
            std::erase_if(shortages, [](const shortage& one) { return one.missing <= min_shortage; });
        }
    }
    /// Adds one replica, and subtracts it from what is missing; nothing is missing any more if no target has
    /// room.
    void add_replica(const std::string& model, double& missing, std::set<std::string>& chosen_before) {
        const auto search = [&](kept_models kept) {
            target_search where{limits_.settle, true, limits_.load_factor, true};
            where.kept = kept;
            where.not_at = &chosen_before;
            return best_target(model, where);
        };
        auto chosen = search(kept_models::one_of_each);
        if (!chosen && missing >= urgent_shortage)
            chosen = search(kept_models::in_demand);
        if (!chosen) {
            missing = 0;
            return;
        }
        chosen_before.insert(chosen->target->id);
        missing -= chosen->target->speed;
        issue_load(*chosen, model, "its replicas are busy");
    }

    [[nodiscard]] bool is_loading(const std::string& model) const {
        return std::any_of(targets_.begin(), targets_.end(),
                           [&](const target_state& target) { return target.coming.contains(model); });
    }

    /// Loads models that no target has a copy of while the weight store has capacity to spare.
    void make_first_copies() {
        for (const auto& entry : engine_.models) {
            const std::string& model = entry.first;
            if (store_loads_ >= limits_.parallel_store_loads)
                return;
            if (facts_of(model).has_copy)
                continue;
            if (const auto chosen = best_target(model, {limits_.idle_before_refill, true, 1.0, true}))
                issue_load(*chosen, model, "no target has a copy");
        }
    }

    // ---- adapters --------------------------------------------------------------------------------

    void load_requested_adapters() {
        std::vector<std::pair<model_ref, demand>> pending_adapters;
        for (const auto& [ref, asked] : demands_)
            if (!ref.adapter.empty() && asked.waiting > 0)
                pending_adapters.emplace_back(ref, asked);
        std::sort(pending_adapters.begin(), pending_adapters.end(), [](const auto& a, const auto& b) {
            return std::tie(a.second.priority, a.second.oldest) <
                   std::tie(b.second.priority, b.second.oldest);
        });
        for (const auto& [ref, asked] : pending_adapters)
            load_adapter(ref);
    }

    void load_adapter(const model_ref& ref) {
        target_state* best = nullptr;
        for (target_state& target : targets_) {
            if (target.adapters.contains(ref) && target.serves && target.running < engine_.slots)
                return; // this target can already serve it
            if (!target.takes_orders || !target.serves || !target.models.contains(ref.model) ||
                target.coming.contains(ref.model))
                continue;
            const bool room = has_adapter_room(target) || idle_adapter(target);
            if (room && (best == nullptr || target.running < best->running))
                best = &target;
        }
        if (best == nullptr)
            return;
        mark_busy(*best, adapter_time);
        if (!has_adapter_room(*best)) {
            orders_.push_back({best->id,
                               false,
                               *idle_adapter(*best),
                               false,
                               "makes room for " + ref.model + "/" + ref.adapter,
                               {}});
            return;
        }
        best->adapters[ref].last_used = now_;
        orders_.push_back({best->id, true, ref, false, "requests wait for it", {}});
    }
    [[nodiscard]] bool has_adapter_room(const target_state& target) const {
        return static_cast<int>(target.adapters.size()) < engine_.adapter_places;
    }
    [[nodiscard]] std::optional<model_ref> idle_adapter(const target_state& target) const {
        std::optional<model_ref> best;
        for (const auto& [ref, use] : target.adapters) {
            const auto asked = demands_.find(ref);
            const bool has_waiting_requests = asked != demands_.end() && asked->second.waiting > 0;
            if (use.running > 0 || has_waiting_requests)
                continue;
            if (!best || use.last_used < target.adapters.at(*best).last_used)
                best = ref;
        }
        return best;
    }

    const fleet::engine_spec& engine_;
    planner_limits limits_;
    time_point now_;
    std::vector<target_state> targets_;
    std::map<model_ref, demand> demands_;
    int store_loads_;
    double adapter_reserve_; // MB
    std::unordered_map<std::string, model_facts> facts_;
    mutable std::vector<std::map<unload_rule, room_facts>> rooms_; // by target, by rule; worked out on use
    std::vector<planned_order> orders_;
};

} // namespace

std::vector<planned_order> plan(planner_input input, const planner_limits& limits, time_point now) {
    return planning_pass{std::move(input), limits, now}.run();
}

} // namespace waxwinglb::core::load_planning
