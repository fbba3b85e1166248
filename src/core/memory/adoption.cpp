// Part of the ledger: reconciles it with what the engine reports.
#include "core/memory/ledger.hpp"

#include <algorithm>

namespace waxwinglb::core::memory {
namespace {

const engine_model* find_model(const engine_view& view, const std::string& model) {
    const auto found = std::find_if(view.models.begin(), view.models.end(),
                                    [&](const engine_model& candidate) { return candidate.model == model; });
    return found == view.models.end() ? nullptr : &*found;
}

bool holds(const engine_model& model, const std::string& adapter) {
    return std::find(model.adapters.begin(), model.adapters.end(), adapter) != model.adapters.end();
}

bool is_under_way(replica_state state) {
    return state == replica_state::loading || state == replica_state::unloading;
}

/// Adds the adapters that the engine holds and drops those that it doesn't. An adapter whose order was left
/// unanswered stays until the order can't arrive any more.
void adopt_adapters(replica& held, const engine_model& seen, common::milliseconds order_timeout,
                    common::time_point asked) {
    for (const std::string& name : seen.adapters) {
        adapter& known = held.adapters[name]; // a new one's size is unknown, so its bytes stay unaccounted
        known.unsure = known.unsure && asked - known.last_used < order_timeout;
    }
    std::erase_if(held.adapters, [&](const auto& entry) {
        const adapter& known = entry.second;
        const bool waits = known.unsure && asked - known.last_used < order_timeout;
        return !known.loading && !known.unloading && !waits && !holds(seen, entry.first);
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
                  [&](const late_order& late) { return mark.asked - late.since >= options_.order_timeout; });
    settle(view, mark, now);
    take_over(view, mark.asked, now);
    return restarted;
}

/// No new orders are accepted until a read has shown what a restarted engine holds: an order that was under
/// way may already have reached it.
void ledger::engine_gone(common::time_point now) {
    drop_loaded(now);
    boot_ = 0;
    settles_on_next_read_ = settles_on_next_read_ || settled_;
    settled_ = false;
}

/// Drops what the engine held before its restart. Adapter orders that are under way or whose answer was lost
/// may still reach the engine, so their bytes stay reserved.
void ledger::drop_loaded(common::time_point now) {
    ++sequence_;
    unaccounted_ = 0;
    for (const auto& [model, held] : replicas_)
        for (const auto& [name, adapter] : held.adapters)
            if (adapter.loading || adapter.unsure)
                late_orders_.push_back({adapter.bytes, now});
    std::erase_if(replicas_, [](const auto& entry) {
        const replica_state state = entry.second.state;
        return state == replica_state::loaded || state == replica_state::draining;
    });
    for (auto& [model, held] : replicas_)
        held.in_use = 0;
}

/// An earlier agent process may have sent orders that still can arrive. Two equal reads, one order timeout
/// apart, show that there are none.
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
    std::int64_t unlisted_bytes = view.used_bytes;
    for (const engine_model& seen : view.models) {
        const bool is_new = !replicas_.contains(seen.model);
        replica& held = replicas_[seen.model];
        unlisted_bytes -= seen.bytes;
        const bool uncertain = held.state == replica_state::unknown && held.unload_lost &&
                               asked - held.last_used < options_.order_timeout;
        if (is_under_way(held.state) || (!is_new && uncertain))
            continue;
        if (is_new || held.state == replica_state::unknown || held.state == replica_state::awaiting_room) {
            held.state = replica_state::loaded;
            held.last_used = now;
        }
        held.version = seen.version;
        held.bytes = seen.bytes;
        adopt_adapters(held, seen, options_.order_timeout, asked);
        for (const std::string& name : seen.adapters)
            unlisted_bytes -= held.adapters[name].bytes;
    }
    std::erase_if(replicas_, [&](const auto& entry) {
        const replica& held = entry.second;
        if (find_model(view, entry.first) != nullptr || is_under_way(held.state) ||
            held.state == replica_state::awaiting_room)
            return false;
        if (held.state != replica_state::unknown || held.unload_lost)
            return true;
        // A load whose answer was lost may still arrive, or already be running in memory that the engine
        // counts.
        return asked - held.last_used >= options_.order_timeout && unlisted_bytes < held.bytes;
    });
    std::int64_t under_way = 0; // may have reached the engine, then it is part of `unlisted_bytes`
    for (const auto& [model, held] : replicas_)
        if (find_model(view, model) == nullptr && held.state != replica_state::awaiting_room)
            under_way += held.bytes;
    unaccounted_ =
        std::max({std::int64_t{0}, unlisted_bytes - under_way, std::min(unaccounted_, unlisted_bytes)});
}

} // namespace waxwinglb::core::memory
