#include "core/memory/ledger.hpp"

#include <algorithm>

namespace waxwinglb::core::memory {
namespace {

std::int64_t bytes_of(const replica& held) {
    std::int64_t total = held.bytes;
    for (const auto& [name, adapter] : held.adapters)
        total += adapter.bytes;
    return total;
}

bool is_being_unloaded(const replica& held) {
    return held.state == replica_state::unloading || held.state == replica_state::draining;
}

bool is_settled(const adapter& held_adapter) {
    return !held_adapter.loading && !held_adapter.unloading && !held_adapter.unsure;
}

/// False while an order for one of the adapters may still arrive; the model must not be unloaded until then.
bool are_settled(const std::map<std::string, adapter>& adapters) {
    return std::all_of(adapters.begin(), adapters.end(),
                       [](const auto& entry) { return is_settled(entry.second); });
}

/// The cost of reloading the replica, per byte that it holds; lower the longer ago it was used.
double reload_value(const replica& held, common::time_point now) {
    const double reload_ms = static_cast<double>(std::max<std::int64_t>(1, held.load_time.count()));
    const double idle_ms = std::chrono::duration<double, std::milli>(now - held.last_used).count() + 1;
    return reload_ms / idle_ms / static_cast<double>(std::max<std::int64_t>(1, held.bytes));
}

} // namespace

load_answer ledger::order_load(const order& requested, common::time_point now) {
    if (is_stale(requested))
        return {order_answer::stale, {}};
    if (!settled_)
        return {order_answer::unsettled, {}};
    const auto found = replicas_.find(requested.model);
    if (found != replicas_.end()) {
        replica& held = found->second;
        const bool settling = held.state == replica_state::unloading || held.state == replica_state::unknown;
        if (settling || held.version != requested.version)
            return {order_answer::busy, {}};
        held.decision = requested.decision;
        if (held.state == replica_state::draining)
            held.state = replica_state::loaded; // a newer decision keeps the replica
        return {held.state == replica_state::loaded ? order_answer::done : order_answer::under_way, {}};
    }
    load_answer result;
    std::int64_t missing = used() + bytes_promised() + requested.bytes - bytes_being_unloaded() - capacity_;
    while (missing > 0) {
        const auto victim = least_valuable(now);
        if (!victim) {
            for (const std::string& model : result.evict)
                replicas_[model].state = replica_state::loaded;
            return {order_answer::no_memory, {}};
        }
        replica& evicted = replicas_[*victim];
        evicted.state = replica_state::unloading;
        missing -= bytes_of(evicted);
        result.evict.push_back(*victim);
    }
    for (const std::string& model : result.evict) {
        replicas_[model].boot = boot_;
        ++sequence_;
    }
    const bool fits = used() + bytes_promised() + requested.bytes <= capacity_;
    replica& added = replicas_[requested.model];
    added.version = requested.version;
    added.bytes = requested.bytes;
    added.decision = requested.decision;
    added.load_by = requested.load_by;
    added.last_used = now;
    added.boot = boot_;
    added.state = fits ? replica_state::loading : replica_state::awaiting_room;
    sequence_ += fits ? 1 : 0;
    result.answer = fits ? order_answer::start : order_answer::wait;
    return result;
}

order_answer ledger::order_unload(const order& requested, common::time_point now) {
    if (is_stale(requested))
        return order_answer::stale;
    if (!settled_)
        return order_answer::unsettled;
    const auto found = replicas_.find(requested.model);
    if (found == replicas_.end())
        return order_answer::done;
    replica& held = found->second;
    if (!requested.version.empty() && requested.version != held.version)
        return order_answer::done;
    held.decision = requested.decision;
    switch (held.state) {
    case replica_state::awaiting_room:
        replicas_.erase(found);
        return order_answer::done;
    case replica_state::loading:
    case replica_state::unknown:
        return order_answer::busy;
    case replica_state::unloading:
    case replica_state::draining:
        return order_answer::under_way;
    case replica_state::loaded:
        break;
    }
    if (held.in_use > 0 || !are_settled(held.adapters)) {
        held.state = replica_state::draining;
        return order_answer::wait;
    }
    held.state = replica_state::unloading;
    held.last_used = now;
    held.boot = boot_;
    ++sequence_;
    return order_answer::start;
}

adapter_answer ledger::order_adapter(const adapter_key& key, std::int64_t bytes, common::time_point now) {
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end() || found->second.state != replica_state::loaded)
        return {order_answer::busy, {}};
    const auto present = found->second.adapters.find(key.name);
    if (present != found->second.adapters.end()) {
        adapter& held_adapter = present->second;
        if (held_adapter.unloading || held_adapter.unsure)
            return {order_answer::busy, {}};
        if (held_adapter.bytes == 0) { // found at the engine, which does not report its size
            held_adapter.bytes = bytes;
            unaccounted_ = std::max<std::int64_t>(0, unaccounted_ - bytes);
        }
        return {held_adapter.loading ? order_answer::under_way : order_answer::done, {}};
    }
    if (!settled_)
        return {order_answer::unsettled, {}};
    if (used() + bytes_promised() + bytes <= capacity_) {
        found->second.adapters[key.name] = {bytes, true, false, false, 0, now};
        ++sequence_;
        return {order_answer::start, {}};
    }
    adapter_answer result{order_answer::wait, {}};
    std::int64_t missing = used() + bytes_promised() + bytes - bytes_being_unloaded() - capacity_;
    while (missing > 0) {
        const auto victim = oldest_idle_adapter();
        if (!victim) {
            for (const adapter_key& marked : result.evict)
                replicas_[marked.model].adapters[marked.name].unloading = false;
            return {order_answer::no_memory, {}};
        }
        adapter& evicted = replicas_[victim->model].adapters[victim->name];
        evicted.unloading = true;
        missing -= evicted.bytes;
        result.evict.push_back(*victim);
    }
    sequence_ += result.evict.size();
    return result;
}

void ledger::load_finished(const std::string& model, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(model);
    if (found == replicas_.end() || found->second.state != replica_state::loading)
        return;
    replica& held = found->second;
    if (outcome == order_outcome::refused || outcome == order_outcome::not_sent) {
        replicas_.erase(found);
        return;
    }
    // An answer to an order sent before a restart does not show what the engine holds now.
    const bool sure = outcome == order_outcome::done && held.boot == boot_;
    held.load_time = std::chrono::duration_cast<common::milliseconds>(now - held.last_used);
    held.last_used = now;
    held.state = sure ? replica_state::loaded : replica_state::unknown;
    held.unload_lost = false;
}

void ledger::unload_finished(const std::string& model, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(model);
    if (found == replicas_.end() || found->second.state != replica_state::unloading)
        return;
    replica& held = found->second;
    held.last_used = now;
    if (outcome == order_outcome::done) {
        replicas_.erase(found);
        return;
    }
    held.unload_lost = outcome == order_outcome::lost || held.boot != boot_;
    held.state = held.unload_lost ? replica_state::unknown : replica_state::loaded;
}

void ledger::adapter_load_finished(const adapter_key& key, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end() || !found->second.adapters.contains(key.name))
        return;
    adapter& held_adapter = found->second.adapters[key.name];
    held_adapter.loading = false;
    held_adapter.last_used = now;
    held_adapter.unsure = outcome == order_outcome::lost;
    if (outcome == order_outcome::refused || outcome == order_outcome::not_sent)
        found->second.adapters.erase(key.name);
}

void ledger::adapter_unload_finished(const adapter_key& key, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end() || !found->second.adapters.contains(key.name))
        return;
    adapter& held_adapter = found->second.adapters[key.name];
    held_adapter.unloading = false;
    held_adapter.last_used = now;
    held_adapter.unsure = outcome == order_outcome::lost;
    if (outcome == order_outcome::done)
        found->second.adapters.erase(key.name);
}

std::vector<std::string> ledger::loads_to_start(common::time_point now) {
    std::vector<std::string> models;
    std::erase_if(replicas_, [&](const auto& entry) {
        return entry.second.state == replica_state::awaiting_room && entry.second.load_by <= now;
    });
    if (!settled_)
        return models;
    for (auto& [model, held] : replicas_) {
        if (held.state != replica_state::awaiting_room || used() + held.bytes > capacity_)
            continue;
        held.state = replica_state::loading;
        held.last_used = now;
        held.boot = boot_;
        ++sequence_;
        models.push_back(model);
    }
    return models;
}

std::vector<std::string> ledger::unloads_to_start() {
    std::vector<std::string> models;
    for (auto& [model, held] : replicas_) {
        if (held.state != replica_state::draining || held.in_use > 0 || !are_settled(held.adapters))
            continue;
        held.state = replica_state::unloading;
        held.boot = boot_;
        ++sequence_;
        models.push_back(model);
    }
    return models;
}

bool ledger::acquire(const std::string& model, common::time_point now) {
    const auto found = replicas_.find(model);
    if (found == replicas_.end() || found->second.state != replica_state::loaded)
        return false;
    ++found->second.in_use;
    found->second.last_used = now;
    return true;
}

void ledger::release(const std::string& model, common::time_point now) {
    const auto found = replicas_.find(model);
    if (found == replicas_.end() || found->second.in_use == 0)
        return;
    --found->second.in_use;
    found->second.last_used = now;
}

bool ledger::acquire_adapter(const adapter_key& key, common::time_point now) {
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end())
        return false;
    const auto present = found->second.adapters.find(key.name);
    if (present == found->second.adapters.end())
        return false;
    adapter& held_adapter = present->second;
    if (held_adapter.loading || held_adapter.unloading || held_adapter.unsure)
        return false;
    ++held_adapter.in_use;
    held_adapter.last_used = now;
    return true;
}

void ledger::release_adapter(const adapter_key& key, common::time_point now) {
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end())
        return;
    const auto present = found->second.adapters.find(key.name);
    if (present == found->second.adapters.end() || present->second.in_use == 0)
        return;
    --present->second.in_use;
    present->second.last_used = now;
}

std::int64_t ledger::used() const {
    std::int64_t total = unaccounted_;
    for (const late_order& late : late_orders_)
        total += late.bytes;
    for (const auto& [model, held] : replicas_)
        if (held.state != replica_state::awaiting_room)
            total += bytes_of(held);
    return total;
}

std::int64_t ledger::free_bytes() const {
    return settled_ ? std::max<std::int64_t>(0, capacity_ - used() - bytes_promised()) : 0;
}

std::int64_t ledger::bytes_promised() const {
    std::int64_t total = 0;
    for (const auto& [model, held] : replicas_)
        if (held.state == replica_state::awaiting_room)
            total += held.bytes;
    return total;
}

/// Bytes that will be free once all unloads under way are confirmed.
std::int64_t ledger::bytes_being_unloaded() const {
    std::int64_t total = 0;
    for (const auto& [model, held] : replicas_) {
        if (is_being_unloaded(held)) {
            total += bytes_of(held);
            continue;
        }
        for (const auto& [name, adapter] : held.adapters)
            total += adapter.unloading ? adapter.bytes : 0;
    }
    return total;
}

/// True if a higher fencing number of the shard or a higher decision number of the model has been seen.
/// Otherwise remembers the order's numbers.
bool ledger::is_stale(const order& requested) {
    std::int64_t& fencing = highest_fencing_[requested.shard];
    std::int64_t& decision = highest_decision_[requested.model];
    if (requested.fencing < fencing || requested.decision < decision)
        return true;
    fencing = requested.fencing;
    decision = requested.decision;
    return false;
}

std::optional<std::string> ledger::least_valuable(common::time_point now) const {
    std::optional<std::string> victim;
    double least = 0;
    for (const auto& [model, held] : replicas_) {
        const bool young = now - held.last_used < options_.min_idle_before_eviction;
        if (held.state != replica_state::loaded || held.in_use > 0 || young || !are_settled(held.adapters))
            continue;
        const double value = reload_value(held, now);
        if (victim && value >= least)
            continue;
        least = value;
        victim = model;
    }
    return victim;
}

std::optional<adapter_key> ledger::oldest_idle_adapter() const {
    std::optional<adapter_key> victim;
    common::time_point oldest = common::time_point::max();
    for (const auto& [model, held] : replicas_) {
        if (held.state != replica_state::loaded)
            continue;
        for (const auto& [name, adapter] : held.adapters) {
            if (adapter.in_use > 0 || !is_settled(adapter) || adapter.bytes == 0 ||
                adapter.last_used >= oldest)
                continue;
            oldest = adapter.last_used;
            victim = adapter_key{model, name};
        }
    }
    return victim;
}

const char* name_of(replica_state state) {
    switch (state) {
    case replica_state::awaiting_room:
    case replica_state::loading:
        return "loading";
    case replica_state::loaded:
        return "loaded";
    case replica_state::draining:
    case replica_state::unloading:
        return "unloading";
    case replica_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace waxwinglb::core::memory
