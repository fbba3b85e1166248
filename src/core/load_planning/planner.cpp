#include "core/load_planning/planner.hpp"

#include <algorithm>
#include <tuple>

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

/// One planning pass over a copy of the input; each decision is applied to the copy.
class planning_pass {
public:
    planning_pass(const planner_input& input, const planner_limits& limits, time_point now)
        : engine_(*input.engine), limits_(limits), now_(now), targets_(input.targets),
          demands_(input.demands), store_loads_(input.store_loads_under_way) {}

    std::vector<planned_order> run() {
        load_requested_models();
        load_requested_adapters();
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

    // ---- demand ----------------------------------------------------------------------------------

    struct model_need {
        std::string model;
        demand all; // including requests for its adapters
    };

    [[nodiscard]] std::map<std::string, demand> by_model() const {
        std::map<std::string, demand> total;
        for (const auto& [ref, asked] : demands_)
            add_demand(total[ref.model], asked);
        return total;
    }

    [[nodiscard]] std::vector<model_need> needs_in_order() const {
        std::vector<model_need> needs;
        for (auto& [model, all] : by_model())
            if (all.waiting > 0 && engine_.models.contains(model))
                needs.push_back({model, all});
        std::sort(needs.begin(), needs.end(), [](const model_need& a, const model_need& b) {
            return std::tie(a.all.priority, a.all.oldest) < std::tie(b.all.priority, b.all.oldest);
        });
        return needs;
    }

    [[nodiscard]] int replicas_of(const std::string& model) const {
        return static_cast<int>(
            std::count_if(targets_.begin(), targets_.end(), [&](const target_state& target) {
                return target.serves && target.models.contains(model);
            }));
    }

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
                                       milliseconds idle) const {
        const usage& use = target.models.at(model);
        if (use.running > 0 || target.coming.contains(model) || now_ - use.last_used < idle)
            return false;
        for (const auto& [ref, asked] : demands_)
            if (ref.model == model && asked.waiting > 0 && replicas_of(model) <= 1)
                return false;
        return true;
    }

    /// Models to unload so that `model` fits, fewest arrivals first; nullopt if it can't be made to fit.
    [[nodiscard]] std::optional<std::vector<std::string>>
    victims_for(const target_state& target, const std::string& model, milliseconds idle) const {
        double room = engine_.megabytes - adapter_reserve() - used_mb(target) - spec_mb(model);
        std::vector<std::string> unloadable;
        for (const auto& [name, use] : target.models)
            if (may_be_unloaded(target, name, idle))
                unloadable.push_back(name);
        std::sort(unloadable.begin(), unloadable.end(), [&](const std::string& a, const std::string& b) {
            return std::tuple{arrivals_per_replica(a), target.models.at(a).last_used} <
                   std::tuple{arrivals_per_replica(b), target.models.at(b).last_used};
        });
        std::vector<std::string> chosen;
        for (const std::string& name : unloadable) {
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
        double sum = 0;
        for (const auto& [ref, asked] : demands_)
            if (ref.model == model)
                sum += asked.per_second;
        return sum / std::max(1, replicas_of(model));
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
    };

    /// The target with the lowest cost, in milliseconds: the time until the model is ready there, plus
    /// penalties for the other models and requests that the load delays.
    [[nodiscard]] std::optional<candidate> best_target(const std::string& model, const target_search& where) {
        std::optional<candidate> best;
        for (target_state& target : targets_) {
            if (!target.serves || target.models.contains(model))
                continue;
            if (target.running > where.max_busy_share * engine_.slots)
                continue;
            const copy_tier copy = copy_of(target, model);
            if (copy == copy_tier::store &&
                (!where.from_store || store_loads_ >= limits_.parallel_store_loads))
                continue;
            const auto wait = wait_for(target);
            if (!wait || (*wait > milliseconds{0} && (!where.may_wait || copy == copy_tier::store)))
                continue;
            auto victims = victims_for(target, model, where.idle);
            if (!victims)
                continue;
            // A busy target runs the new model more slowly.
            double cost = static_cast<double>((*wait + load_time(model, copy)).count());
            cost += static_cast<double>(limits_.running_cost.count()) * target.running;
            cost += unload_cost_ms * static_cast<double>(victims->size());
            for (const std::string& victim : *victims)
                cost += victim_cost_ms * arrivals_per_replica(victim);
            if (!best || cost < best->cost_ms)
                best = candidate{&target, copy, std::move(*victims), *wait, cost};
        }
        return best;
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
                {target.id, false, {chosen.victims.front(), {}}, false, "makes room for " + model});
            return;
        }
        const bool store = chosen.copy == copy_tier::store;
        store_loads_ += store ? 1 : 0;
        orders_.push_back({target.id, true, {model, {}}, store, why});
        target.models[model].last_used = now_;
        target.coming[model] = now_ + load;
    }

    // ---- steps -----------------------------------------------------------------------------------

    void load_requested_models() {
        for (const model_need& need : needs_in_order()) {
            const auto ready = earliest_ready(need.model);
            if (ready && *ready <= now_)
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

    /// Adds a replica of each busy model if a target has room.
    void add_replicas() {
        for (const auto& entry : by_model()) {
            const std::string& model = entry.first;
            const demand& all = entry.second;
            const int replicas = replicas_of(model);
            const int concurrent = all.running + all.waiting;
            if (replicas == 0 || !engine_.models.contains(model) ||
                concurrent <= replicas * limits_.requests_per_replica)
                continue;
            const bool loading =
                std::any_of(targets_.begin(), targets_.end(),
                            [&](const target_state& target) { return target.coming.contains(model); });
            if (loading)
                continue;
            if (const auto chosen = best_target(model, {limits_.settle, true, limits_.load_factor, true}))
                issue_load(*chosen, model, "its replicas are busy");
        }
    }

    /// Loads models that no target has a copy of while the weight store has capacity to spare.
    void make_first_copies() {
        for (const auto& entry : engine_.models) {
            const std::string& model = entry.first;
            if (store_loads_ >= limits_.parallel_store_loads)
                return;
            const bool has_copy =
                std::any_of(targets_.begin(), targets_.end(), [&](const target_state& target) {
                    return target.models.contains(model) || copy_of(target, model) != copy_tier::store;
                });
            if (has_copy)
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
            orders_.push_back({best->id, false, *idle_adapter(*best), false,
                               "makes room for " + ref.model + "/" + ref.adapter});
            return;
        }
        best->adapters[ref].last_used = now_;
        orders_.push_back({best->id, true, ref, false, "requests wait for it"});
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
    std::vector<planned_order> orders_;
};

} // namespace

std::vector<planned_order> plan(const planner_input& input, const planner_limits& limits, time_point now) {
    return planning_pass{input, limits, now}.run();
}

} // namespace waxwinglb::core::load_planning
