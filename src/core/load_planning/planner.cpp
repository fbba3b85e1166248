#include "core/load_planning/planner.hpp"

#include <algorithm>
#include <tuple>

namespace waxwinglb::core::load_planning {
namespace {

using common::milliseconds;
using common::time_point;
using fleet::model_ref;

enum class copy_place { memory, disk, store };

constexpr milliseconds unload_time{100}; // mostly two round trips; longer while runs of the model finish
constexpr milliseconds adapter_time{50}; // a round trip; adapters arrive in milliseconds
constexpr double unload_cost_ms = 30.0;  // of each model that has to be unloaded first
constexpr double victim_cost_ms = 300.0; // for each arrival a second of such a model

/// One planning pass over a copy of the input, which it changes as it decides.
class pass {
public:
    pass(const planner_input& input, const planner_limits& limits, time_point now)
        : engine_(*input.engine), limits_(limits), now_(now), targets_(input.targets),
          demands_(input.demands), store_loads_(input.store_loads_under_way) {}

    std::vector<planned_order> run() {
        load_wanted_models();
        load_wanted_adapters();
        add_replicas();
        make_first_copies();
        return std::move(orders_);
    }

private:
    struct candidate {
        target_state* target = nullptr;
        copy_place copy = copy_place::store;
        std::vector<std::string> victims; // models to unload first
        milliseconds wait{0};             // until the target takes an order
        double cost_ms = 0;
    };

    // ---- what is asked for -----------------------------------------------------------------------

    struct model_need {
        std::string model;
        demand all; // with its adapters
    };

    [[nodiscard]] std::map<std::string, demand> by_model() const {
        std::map<std::string, demand> out;
        for (const auto& [wish, one] : demands_)
            add_demand(out[wish.model], one);
        return out;
    }

    [[nodiscard]] std::vector<model_need> needs_in_order() const {
        std::vector<model_need> out;
        for (auto& [model, all] : by_model())
            if (all.waiting > 0 && engine_.models.contains(model))
                out.push_back({model, all});
        std::sort(out.begin(), out.end(), [](const model_need& a, const model_need& b) {
            return std::tie(a.all.priority, a.all.oldest) < std::tie(b.all.priority, b.all.oldest);
        });
        return out;
    }

    [[nodiscard]] int replicas_of(const std::string& model) const {
        return static_cast<int>(std::count_if(targets_.begin(), targets_.end(), [&](const target_state& one) {
            return one.serves && one.models.contains(model);
        }));
    }

    // ---- memory of a target ----------------------------------------------------------------------

    [[nodiscard]] double used_mb(const target_state& one) const {
        double sum = 0;
        for (const auto& [model, use] : one.models)
            sum += spec_mb(model);
        for (const auto& [wish, use] : one.adapters)
            if (const auto spec = engine_.models.find(wish.model); spec != engine_.models.end())
                sum += spec->second.adapter_megabytes;
        return sum;
    }
    [[nodiscard]] double spec_mb(const std::string& model) const {
        const auto spec = engine_.models.find(model);
        return spec == engine_.models.end() ? engine_.megabytes : spec->second.megabytes;
    }

    /// Room that must stay for adapters beside `model`, so that a full target can still take some.
    [[nodiscard]] double adapter_reserve() const {
        double largest = 0;
        for (const auto& [name, spec] : engine_.models)
            if (spec.adapters > 0)
                largest = std::max(largest, spec.adapter_megabytes);
        return largest * engine_.adapter_places;
    }

    // ---- choosing a target -----------------------------------------------------------------------

    [[nodiscard]] copy_place copy_of(const target_state& one, const std::string& model) const {
        if (one.copies_in_memory.contains(model))
            return copy_place::memory;
        return one.copies_on_disk.contains(model) ? copy_place::disk : copy_place::store;
    }
    [[nodiscard]] milliseconds load_time(const std::string& model, copy_place copy) const {
        const fleet::model_spec& spec = engine_.models.at(model);
        switch (copy) {
        case copy_place::memory:
            return spec.memory_load;
        case copy_place::disk:
            return spec.disk_load;
        case copy_place::store:
            break;
        }
        return spec.store_load;
    }

    /// A model that may be unloaded for another one: nobody runs on it or waits for it.
    [[nodiscard]] bool may_give_way(const target_state& one, const std::string& model,
                                    milliseconds idle) const {
        const usage& use = one.models.at(model);
        if (use.running > 0 || one.coming.contains(model) || now_ - use.last_used < idle)
            return false;
        for (const auto& [wish, asked] : demands_)
            if (wish.model == model && asked.waiting > 0 && replicas_of(model) <= 1)
                return false;
        return true;
    }

    /// Models to unload so that `model` fits, the least wanted first; nothing if it can't be made to fit.
    [[nodiscard]] std::optional<std::vector<std::string>>
    victims_for(const target_state& one, const std::string& model, milliseconds idle) const {
        double room = engine_.megabytes - adapter_reserve() - used_mb(one) - spec_mb(model);
        std::vector<std::string> order;
        for (const auto& [name, use] : one.models)
            if (may_give_way(one, name, idle))
                order.push_back(name);
        std::sort(order.begin(), order.end(), [&](const std::string& a, const std::string& b) {
            return std::tuple{wanted(a), one.models.at(a).last_used} <
                   std::tuple{wanted(b), one.models.at(b).last_used};
        });
        std::vector<std::string> out;
        for (const std::string& name : order) {
            if (room >= 0)
                break;
            room += spec_mb(name);
            out.push_back(name);
        }
        if (room < 0)
            return std::nullopt;
        return out;
    }
    /// Arrivals a second for each of the model's replicas.
    [[nodiscard]] double wanted(const std::string& model) const {
        double sum = 0;
        for (const auto& [wish, one] : demands_)
            if (wish.model == model)
                sum += one.per_second;
        return sum / std::max(1, replicas_of(model));
    }

    /// How long until the target takes an order; nothing if that can't be foretold.
    [[nodiscard]] std::optional<milliseconds> wait_for(const target_state& one) const {
        if (one.takes_orders)
            return milliseconds{0};
        if (one.takes_orders_at <= now_ || one.takes_orders_at == time_point::max())
            return std::nullopt;
        return std::chrono::ceil<milliseconds>(one.takes_orders_at - now_);
    }

    /// Where a model may be loaded.
    struct search {
        milliseconds idle{0}; // models idle for so long may give way to it
        bool from_store = true;
        double most_busy = 1; // part of a target's slots
        bool may_wait = true; // for a target that has a copy and takes no order yet
    };

    /// The target at which it costs least: in milliseconds until it is there, and in what that does to
    /// others.
    [[nodiscard]] std::optional<candidate> best_target(const std::string& model, const search& where) {
        std::optional<candidate> best;
        for (target_state& one : targets_) {
            if (!one.serves || one.models.contains(model))
                continue;
            if (one.running > where.most_busy * engine_.slots)
                continue;
            const copy_place copy = copy_of(one, model);
            if (copy == copy_place::store &&
                (!where.from_store || store_loads_ >= limits_.parallel_store_loads))
                continue;
            const auto wait = wait_for(one);
            if (!wait || (*wait > milliseconds{0} && (!where.may_wait || copy == copy_place::store)))
                continue;
            auto victims = victims_for(one, model, where.idle);
            if (!victims)
                continue;
            // A busy target serves the new model more slowly.
            double cost = static_cast<double>((*wait + load_time(model, copy)).count());
            cost += static_cast<double>(limits_.running_cost.count()) * one.running;
            cost += unload_cost_ms * static_cast<double>(victims->size());
            for (const std::string& victim : *victims)
                cost += victim_cost_ms * wanted(victim);
            if (!best || cost < best->cost_ms)
                best = candidate{&one, copy, std::move(*victims), *wait, cost};
        }
        return best;
    }

    /// One order at a time.
    void occupy(target_state& one, milliseconds how_long) const {
        one.takes_orders = false;
        one.takes_orders_at = now_ + how_long;
    }

    void give(const candidate& chosen, const std::string& model, const std::string& why) {
        target_state& one = *chosen.target;
        if (chosen.wait > milliseconds{0}) {
            // No order yet: its copy there is the cheapest way once the target takes orders. Whatever else
            // waits for that target waits for this load too.
            one.takes_orders_at += load_time(model, chosen.copy);
            return;
        }
        const milliseconds load = load_time(model, chosen.copy);
        occupy(one, chosen.victims.empty() ? load : load + unload_time);
        if (!chosen.victims.empty()) {
            orders_.push_back(
                {one.id, false, {chosen.victims.front(), {}}, false, "makes room for " + model});
            return;
        }
        const bool store = chosen.copy == copy_place::store;
        store_loads_ += store ? 1 : 0;
        orders_.push_back({one.id, true, {model, {}}, store, why});
        one.models[model].last_used = now_;
        one.coming[model] = now_ + load;
    }

    // ---- steps -----------------------------------------------------------------------------------

    void load_wanted_models() {
        for (const model_need& need : needs_in_order()) {
            const auto ready = earliest_ready(need.model);
            if (ready && *ready <= now_)
                continue;
            const auto chosen =
                best_target(need.model, {limits_.settle, !ready, 1.0, !waited_too_long(need)});
            if (!chosen || (ready && now_ + chosen->wait + load_time(need.model, chosen->copy) >= *ready))
                continue;
            give(*chosen, need.model, "requests wait for it");
        }
    }

    /// When the first target that serves has it; nothing if none has or loads it.
    [[nodiscard]] std::optional<time_point> earliest_ready(const std::string& model) const {
        std::optional<time_point> out;
        for (const target_state& one : targets_) {
            if (!one.serves || !one.models.contains(model))
                continue;
            const auto coming = one.coming.find(model);
            const time_point at = coming == one.coming.end() ? now_ : coming->second;
            out = out ? std::min(*out, at) : at;
        }
        return out;
    }
    /// A target that was foretold to take orders soon may never do so: then any other way is taken.
    [[nodiscard]] bool waited_too_long(const model_need& need) const {
        return now_ - need.all.oldest > load_time(need.model, copy_place::store);
    }

    /// Busy models get another replica where targets have room.
    void add_replicas() {
        for (const auto& entry : by_model()) {
            const std::string& model = entry.first;
            const demand& all = entry.second;
            const int replicas = replicas_of(model);
            const int concurrent = all.running + all.waiting;
            if (replicas == 0 || !engine_.models.contains(model) ||
                concurrent <= replicas * limits_.requests_per_replica)
                continue;
            const bool loading = std::any_of(targets_.begin(), targets_.end(), [&](const target_state& one) {
                return one.coming.contains(model);
            });
            if (loading)
                continue;
            if (const auto chosen = best_target(model, {limits_.settle, true, limits_.load_factor, true}))
                give(*chosen, model, "its replicas are busy");
        }
    }

    /// While the weight store idles, models without any copy get one.
    void make_first_copies() {
        for (const auto& entry : engine_.models) {
            const std::string& model = entry.first;
            if (store_loads_ >= limits_.parallel_store_loads)
                return;
            const bool somewhere =
                std::any_of(targets_.begin(), targets_.end(), [&](const target_state& one) {
                    return one.models.contains(model) || copy_of(one, model) != copy_place::store;
                });
            if (somewhere)
                continue;
            if (const auto chosen = best_target(model, {limits_.idle_before_refill, true, 1.0, true}))
                give(*chosen, model, "no target has a copy");
        }
    }

    // ---- adapters --------------------------------------------------------------------------------

    void load_wanted_adapters() {
        std::vector<std::pair<model_ref, demand>> wanted_ones;
        for (const auto& [wish, one] : demands_)
            if (!wish.adapter.empty() && one.waiting > 0)
                wanted_ones.emplace_back(wish, one);
        std::sort(wanted_ones.begin(), wanted_ones.end(), [](const auto& a, const auto& b) {
            return std::tie(a.second.priority, a.second.oldest) <
                   std::tie(b.second.priority, b.second.oldest);
        });
        for (const auto& [wish, one] : wanted_ones)
            load_adapter(wish);
    }

    void load_adapter(const model_ref& wish) {
        target_state* best = nullptr;
        for (target_state& one : targets_) {
            if (one.adapters.contains(wish) && one.serves && one.running < engine_.slots)
                return; // it can be served there
            if (!one.takes_orders || !one.serves || !one.models.contains(wish.model) ||
                one.coming.contains(wish.model))
                continue;
            const bool room = has_adapter_room(one) || idle_adapter(one);
            if (room && (best == nullptr || one.running < best->running))
                best = &one;
        }
        if (best == nullptr)
            return;
        occupy(*best, adapter_time);
        if (!has_adapter_room(*best)) {
            orders_.push_back({best->id, false, *idle_adapter(*best), false,
                               "makes room for " + wish.model + "/" + wish.adapter});
            return;
        }
        best->adapters[wish].last_used = now_;
        orders_.push_back({best->id, true, wish, false, "requests wait for it"});
    }
    [[nodiscard]] bool has_adapter_room(const target_state& one) const {
        return static_cast<int>(one.adapters.size()) < engine_.adapter_places;
    }
    [[nodiscard]] std::optional<model_ref> idle_adapter(const target_state& one) const {
        std::optional<model_ref> best;
        for (const auto& [wish, use] : one.adapters) {
            const auto asked = demands_.find(wish);
            const bool waited_for = asked != demands_.end() && asked->second.waiting > 0;
            if (use.running > 0 || waited_for)
                continue;
            if (!best || use.last_used < one.adapters.at(*best).last_used)
                best = wish;
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
    return pass{input, limits, now}.run();
}

} // namespace waxwinglb::core::load_planning
