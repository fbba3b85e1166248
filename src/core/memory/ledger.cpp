#include "core/memory/ledger.hpp"

#include <algorithm>

namespace waxwinglb::core::memory {
namespace {

std::int64_t bytes_of(const replica& one) {
    std::int64_t out = one.bytes;
    for (const auto& [name, adapter] : one.adapters)
        out += adapter.bytes;
    return out;
}

bool is_leaving(const replica& one) {
    return one.state == replica_state::unloading || one.state == replica_state::draining;
}

bool is_settled(const adapter& one) {
    return !one.loading && !one.unloading && !one.unsure;
}

/// A model must not be unloaded while an order for one of its adapters could still arrive.
bool are_settled(const std::map<std::string, adapter>& adapters) {
    return std::all_of(adapters.begin(), adapters.end(),
                       [](const auto& entry) { return is_settled(entry.second); });
}

/// Cost of loading it again, weighed by how lately it was used, for each byte that it holds.
double value_of(const replica& one, common::time_point now) {
    const double reload_ms = static_cast<double>(std::max<std::int64_t>(1, one.load_time.count()));
    const double idle_ms = std::chrono::duration<double, std::milli>(now - one.last_used).count() + 1;
    return reload_ms / idle_ms / static_cast<double>(std::max<std::int64_t>(1, one.bytes));
}

} // namespace

load_answer ledger::order_load(const order& wanted, common::time_point now) {
    if (is_stale(wanted))
        return {order_answer::stale, {}};
    if (!settled_)
        return {order_answer::unsettled, {}};
    const auto found = replicas_.find(wanted.model);
    if (found != replicas_.end()) {
        replica& one = found->second;
        const bool settling = one.state == replica_state::unloading || one.state == replica_state::unknown;
        if (settling || one.version != wanted.version)
            return {order_answer::busy, {}};
        one.decision = wanted.decision;
        if (one.state == replica_state::draining)
            one.state = replica_state::loaded; // a newer decision keeps it
        return {one.state == replica_state::loaded ? order_answer::done : order_answer::under_way, {}};
    }
    load_answer out;
    std::int64_t missing = used() + bytes_promised() + wanted.bytes - bytes_being_unloaded() - capacity_;
    while (missing > 0) {
        const auto victim = least_valuable(now);
        if (!victim) {
            for (const std::string& model : out.evict)
                replicas_[model].state = replica_state::loaded;
            return {order_answer::no_memory, {}};
        }
        replica& leaves = replicas_[*victim];
        leaves.state = replica_state::unloading;
        missing -= bytes_of(leaves);
        out.evict.push_back(*victim);
    }
    for (const std::string& model : out.evict) {
        replicas_[model].boot = boot_;
        ++sequence_;
    }
    const bool fits = used() + bytes_promised() + wanted.bytes <= capacity_;
    replica& made = replicas_[wanted.model];
    made.version = wanted.version;
    made.bytes = wanted.bytes;
    made.decision = wanted.decision;
    made.load_by = wanted.load_by;
    made.last_used = now;
    made.boot = boot_;
    made.state = fits ? replica_state::loading : replica_state::awaiting_room;
    sequence_ += fits ? 1 : 0;
    out.answer = fits ? order_answer::start : order_answer::wait;
    return out;
}

order_answer ledger::order_unload(const order& wanted, common::time_point now) {
    if (is_stale(wanted))
        return order_answer::stale;
    if (!settled_)
        return order_answer::unsettled;
    const auto found = replicas_.find(wanted.model);
    if (found == replicas_.end())
        return order_answer::done;
    replica& one = found->second;
    if (!wanted.version.empty() && wanted.version != one.version)
        return order_answer::done;
    one.decision = wanted.decision;
    switch (one.state) {
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
    if (one.in_use > 0 || !are_settled(one.adapters)) {
        one.state = replica_state::draining;
        return order_answer::wait;
    }
    one.state = replica_state::unloading;
    one.last_used = now;
    one.boot = boot_;
    ++sequence_;
    return order_answer::start;
}

adapter_answer ledger::order_adapter(const adapter_key& key, std::int64_t bytes, common::time_point now) {
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end() || found->second.state != replica_state::loaded)
        return {order_answer::busy, {}};
    const auto present = found->second.adapters.find(key.name);
    if (present != found->second.adapters.end()) {
        adapter& one = present->second;
        if (one.unloading || one.unsure)
            return {order_answer::busy, {}};
        if (one.bytes == 0) { // found at the engine, which does not tell its size
            one.bytes = bytes;
            unaccounted_ = std::max<std::int64_t>(0, unaccounted_ - bytes);
        }
        return {one.loading ? order_answer::under_way : order_answer::done, {}};
    }
    if (!settled_)
        return {order_answer::unsettled, {}};
    if (used() + bytes_promised() + bytes <= capacity_) {
        found->second.adapters[key.name] = {bytes, true, false, false, 0, now};
        ++sequence_;
        return {order_answer::start, {}};
    }
    adapter_answer out{order_answer::wait, {}};
    std::int64_t missing = used() + bytes_promised() + bytes - bytes_being_unloaded() - capacity_;
    while (missing > 0) {
        const auto victim = oldest_idle_adapter();
        if (!victim) {
            for (const adapter_key& one : out.evict)
                replicas_[one.model].adapters[one.name].unloading = false;
            return {order_answer::no_memory, {}};
        }
        adapter& leaves = replicas_[victim->model].adapters[victim->name];
        leaves.unloading = true;
        missing -= leaves.bytes;
        out.evict.push_back(*victim);
    }
    sequence_ += out.evict.size();
    return out;
}

void ledger::load_finished(const std::string& model, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(model);
    if (found == replicas_.end() || found->second.state != replica_state::loading)
        return;
    replica& one = found->second;
    if (outcome == order_outcome::refused || outcome == order_outcome::not_sent) {
        replicas_.erase(found);
        return;
    }
    // An answer from before a restart says nothing about what the engine holds now.
    const bool sure = outcome == order_outcome::done && one.boot == boot_;
    one.load_time = std::chrono::duration_cast<common::milliseconds>(now - one.last_used);
    one.last_used = now;
    one.state = sure ? replica_state::loaded : replica_state::unknown;
    one.unload_lost = false;
}

void ledger::unload_finished(const std::string& model, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(model);
    if (found == replicas_.end() || found->second.state != replica_state::unloading)
        return;
    replica& one = found->second;
    one.last_used = now;
    if (outcome == order_outcome::done) {
        replicas_.erase(found);
        return;
    }
    one.unload_lost = outcome == order_outcome::lost || one.boot != boot_;
    one.state = one.unload_lost ? replica_state::unknown : replica_state::loaded;
}

void ledger::adapter_load_finished(const adapter_key& key, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end() || !found->second.adapters.contains(key.name))
        return;
    adapter& one = found->second.adapters[key.name];
    one.loading = false;
    one.last_used = now;
    one.unsure = outcome == order_outcome::lost;
    if (outcome == order_outcome::refused || outcome == order_outcome::not_sent)
        found->second.adapters.erase(key.name);
}

void ledger::adapter_unload_finished(const adapter_key& key, order_outcome outcome, common::time_point now) {
    ++sequence_;
    const auto found = replicas_.find(key.model);
    if (found == replicas_.end() || !found->second.adapters.contains(key.name))
        return;
    adapter& one = found->second.adapters[key.name];
    one.unloading = false;
    one.last_used = now;
    one.unsure = outcome == order_outcome::lost;
    if (outcome == order_outcome::done)
        found->second.adapters.erase(key.name);
}

std::vector<std::string> ledger::loads_to_start(common::time_point now) {
    std::vector<std::string> out;
    std::erase_if(replicas_, [&](const auto& entry) {
        return entry.second.state == replica_state::awaiting_room && entry.second.load_by <= now;
    });
    if (!settled_)
        return out;
    for (auto& [model, one] : replicas_) {
        if (one.state != replica_state::awaiting_room || used() + one.bytes > capacity_)
            continue;
        one.state = replica_state::loading;
        one.last_used = now;
        one.boot = boot_;
        ++sequence_;
        out.push_back(model);
    }
    return out;
}

std::vector<std::string> ledger::unloads_to_start() {
    std::vector<std::string> out;
    for (auto& [model, one] : replicas_) {
        if (one.state != replica_state::draining || one.in_use > 0 || !are_settled(one.adapters))
            continue;
        one.state = replica_state::unloading;
        one.boot = boot_;
        ++sequence_;
        out.push_back(model);
    }
    return out;
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
    adapter& one = present->second;
    if (one.loading || one.unloading || one.unsure)
        return false;
    ++one.in_use;
    one.last_used = now;
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
    std::int64_t out = unaccounted_;
    for (const late_order& one : late_orders_)
        out += one.bytes;
    for (const auto& [model, one] : replicas_)
        if (one.state != replica_state::awaiting_room)
            out += bytes_of(one);
    return out;
}

std::int64_t ledger::free_bytes() const {
    return settled_ ? std::max<std::int64_t>(0, capacity_ - used() - bytes_promised()) : 0;
}

std::int64_t ledger::bytes_promised() const {
    std::int64_t out = 0;
    for (const auto& [model, one] : replicas_)
        if (one.state == replica_state::awaiting_room)
            out += one.bytes;
    return out;
}

/// What will be free once all unloads under way are confirmed.
std::int64_t ledger::bytes_being_unloaded() const {
    std::int64_t out = 0;
    for (const auto& [model, one] : replicas_) {
        if (is_leaving(one)) {
            out += bytes_of(one);
            continue;
        }
        for (const auto& [name, adapter] : one.adapters)
            out += adapter.unloading ? adapter.bytes : 0;
    }
    return out;
}

/// An order is old if its shard or its model has been seen with a higher number.
bool ledger::is_stale(const order& wanted) {
    std::int64_t& fencing = highest_fencing_[wanted.shard];
    std::int64_t& decision = highest_decision_[wanted.model];
    if (wanted.fencing < fencing || wanted.decision < decision)
        return true;
    fencing = wanted.fencing;
    decision = wanted.decision;
    return false;
}

std::optional<std::string> ledger::least_valuable(common::time_point now) const {
    std::optional<std::string> out;
    double least = 0;
    for (const auto& [model, one] : replicas_) {
        const bool young = now - one.last_used < options_.min_idle_before_eviction;
        if (one.state != replica_state::loaded || one.in_use > 0 || young || !are_settled(one.adapters))
            continue;
        const double value = value_of(one, now);
        if (out && value >= least)
            continue;
        least = value;
        out = model;
    }
    return out;
}

std::optional<adapter_key> ledger::oldest_idle_adapter() const {
    std::optional<adapter_key> out;
    common::time_point oldest = common::time_point::max();
    for (const auto& [model, one] : replicas_) {
        if (one.state != replica_state::loaded)
            continue;
        for (const auto& [name, adapter] : one.adapters) {
            if (adapter.in_use > 0 || !is_settled(adapter) || adapter.bytes == 0 ||
                adapter.last_used >= oldest)
                continue;
            oldest = adapter.last_used;
            out = adapter_key{model, name};
        }
    }
    return out;
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
