// The part of the ledger that takes over what the engine says that it holds.
#include "core/memory/ledger.hpp"

#include <algorithm>

namespace waxwinglb::core::memory {
namespace {

const engine_model* find_model(const engine_view& view, const std::string& model) {
    const auto found = std::find_if(view.models.begin(), view.models.end(),
                                    [&](const engine_model& one) { return one.model == model; });
    return found == view.models.end() ? nullptr : &*found;
}

bool holds(const engine_model& model, const std::string& adapter) {
    return std::find(model.adapters.begin(), model.adapters.end(), adapter) != model.adapters.end();
}

bool is_under_way(replica_state state) {
    return state == replica_state::loading || state == replica_state::unloading;
}

/// Adds what the engine holds, drops what it doesn't; one whose order's answer was lost stays for a while.
void adopt_adapters(replica& one, const engine_model& seen, common::milliseconds order_timeout,
                    common::time_point asked) {
    for (const std::string& name : seen.adapters) {
        adapter& held = one.adapters[name]; // new ones: size unknown, so it stays unaccounted
        held.unsure = held.unsure && asked - held.last_used < order_timeout;
    }
    std::erase_if(one.adapters, [&](const auto& entry) {
        const adapter& held = entry.second;
        const bool waits = held.unsure && asked - held.last_used < order_timeout;
        return !held.loading && !held.unloading && !waits && !holds(seen, entry.first);
    });
}

} // namespace

bool engine_view::operator==(const engine_view& other) const {
    const auto same = [](const engine_model& a, const engine_model& b) {
        return a.model == b.model && a.version == b.version && a.adapters == b.adapters;
    };
    return boot == other.boot && used_bytes == other.used_bytes && models.size() == other.models.size() &&
           std::equal(models.begin(), models.end(), other.models.begin(), same);
}

bool ledger::adopt(const engine_view& view, const read_mark& mark, common::time_point now) {
    const bool restarted = boot_ != 0 && view.boot != boot_;
    const bool overlapped = mark.sequence != sequence_;
    if (restarted)
        engine_gone(now);
    boot_ = view.boot;
    capacity_ = view.memory_bytes > 0 ? std::min(options_.capacity, view.memory_bytes) : options_.capacity;
    if (overlapped)
        return restarted;
    std::erase_if(late_orders_,
                  [&](const late_order& one) { return mark.asked - one.since >= options_.order_timeout; });
    settle(view, mark, now);
    take_over(view, mark.asked, now);
    return restarted;
}

/// Nothing new is ordered until a read has shown what a restarted engine holds: an order that was under way
/// may have reached it already.
void ledger::engine_gone(common::time_point now) {
    drop_loaded(now);
    boot_ = 0;
    settles_on_next_read_ = settles_on_next_read_ || settled_;
    settled_ = false;
}

/// Orders under way, and ones whose answer was lost, may still reach the engine after its restart.
void ledger::drop_loaded(common::time_point now) {
    ++sequence_;
    unaccounted_ = 0;
    for (const auto& [model, one] : replicas_)
        for (const auto& [name, adapter] : one.adapters)
            if (adapter.loading || adapter.unsure)
                late_orders_.push_back({adapter.bytes, now});
    std::erase_if(replicas_, [](const auto& entry) {
        const replica_state state = entry.second.state;
        return state == replica_state::loaded || state == replica_state::draining;
    });
    for (auto& [model, one] : replicas_)
        one.in_use = 0;
}

/// A former agent process may have sent orders that are still on their way: two equal reads, one order
/// timeout apart, show that none is.
void ledger::settle(const engine_view& view, const read_mark& mark, common::time_point now) {
    if (settled_)
        return;
    if (settles_on_next_read_) {
        settled_ = true;
        return;
    }
    if (!first_view_ || !(*first_view_ == view)) {
        first_view_ = view;
        first_view_at_ = now;
        return;
    }
    settled_ = mark.asked - first_view_at_ >= options_.order_timeout;
}

void ledger::take_over(const engine_view& view, common::time_point asked, common::time_point now) {
    std::int64_t unlisted = view.used_bytes;
    for (const engine_model& seen : view.models) {
        const bool is_new = !replicas_.contains(seen.model);
        replica& one = replicas_[seen.model];
        unlisted -= seen.bytes;
        const bool uncertain = one.state == replica_state::unknown && one.unload_lost &&
                               asked - one.last_used < options_.order_timeout;
        if (is_under_way(one.state) || (!is_new && uncertain))
            continue;
        if (is_new || one.state == replica_state::unknown || one.state == replica_state::awaiting_room) {
            one.state = replica_state::loaded;
            one.last_used = now;
        }
        one.version = seen.version;
        one.bytes = seen.bytes;
        adopt_adapters(one, seen, options_.order_timeout, asked);
        for (const std::string& name : seen.adapters)
            unlisted -= one.adapters[name].bytes;
    }
    std::erase_if(replicas_, [&](const auto& entry) {
        const replica& one = entry.second;
        if (find_model(view, entry.first) != nullptr || is_under_way(one.state) ||
            one.state == replica_state::awaiting_room)
            return false;
        if (one.state != replica_state::unknown || one.unload_lost)
            return true;
        // A load whose answer was lost may still arrive, or be going on in memory that the engine counts.
        return asked - one.last_used >= options_.order_timeout && unlisted < one.bytes;
    });
    std::int64_t under_way = 0; // may or may not have reached the engine, so may or may not be in `unlisted`
    for (const auto& [model, one] : replicas_)
        if (find_model(view, model) == nullptr && one.state != replica_state::awaiting_room)
            under_way += one.bytes;
    unaccounted_ = std::max({std::int64_t{0}, unlisted - under_way, std::min(unaccounted_, unlisted)});
}

} // namespace waxwinglb::core::memory
