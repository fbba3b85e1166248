/// Memory ledger of one target: the only account of what is loaded there, and of what may be loaded next.
///
/// Memory is reserved before an order leaves and freed only after the engine confirmed the unload. Whatever
/// is uncertain (a lost answer, a restart of the agent) counts as loaded until the engine's state was read.
/// Orders with a number older than the highest seen are refused, also for engines that ignore fencing.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::memory {

enum class replica_state {
    awaiting_room, // accepted; its order leaves once evicted replicas are confirmed gone
    loading,       // order under way
    loaded,
    draining,  // unload decided; waits for the last request
    unloading, // order under way
    unknown,   // an order's answer was lost
};

struct adapter {
    std::int64_t bytes = 0;
    bool loading = false;   // order under way
    bool unloading = false; // order under way
    bool unsure = false;    // an order's answer was lost
    int in_use = 0;         // requests running or waiting
    common::time_point last_used;
};

struct replica {
    std::string version;
    std::int64_t bytes = 0;
    std::int64_t decision = 0; // that asked for it; 0: found at the engine
    replica_state state = replica_state::unknown;
    bool unload_lost = false;          // unknown: it was an unload whose answer was lost
    std::int64_t boot = 0;             // engine boot at which the order under way left
    int in_use = 0;                    // requests running or waiting
    common::time_point last_used;      // or since when it is in its state
    common::time_point load_by;        // awaiting_room, loading: the order's deadline
    common::milliseconds load_time{0}; // measured; 0: not known
    std::map<std::string, adapter> adapters;
};

/// An order as it came from a shard's holder.
struct order {
    std::string model;
    std::string version;
    std::int64_t decision = 0;
    std::int64_t fencing = 0;
    int shard = 0; // that decides the model; fencing numbers are compared within a shard
    std::int64_t bytes = 0;
    common::time_point load_by;
};

enum class order_answer {
    start,     // send it to the engine now
    wait,      // accepted; will start when room or the last request is gone
    done,      // already so
    under_way, // the same is being done
    stale,     // older than the highest number seen
    busy,      // another order for this model is under way
    no_memory, // does not fit, nor could it by evicting idle replicas
    unsettled, // the engine's state is not known yet
};

struct load_answer {
    order_answer answer = order_answer::unsettled;
    std::vector<std::string> evict; // models to unload now; they are marked unloading
};

struct adapter_key {
    std::string model;
    std::string name;
};

struct adapter_answer {
    order_answer answer = order_answer::unsettled;
    std::vector<adapter_key> evict; // adapters to unload now; they are marked unloading
};

/// What became of an order sent to the engine.
enum class order_outcome {
    done,     // confirmed
    refused,  // the engine answered that it did nothing
    not_sent, // the engine never saw it
    lost,     // no answer, or one that leaves it open
};

/// What the engine says that it holds.
struct engine_model {
    std::string model;
    std::string version;
    std::int64_t bytes = 0;
    std::vector<std::string> adapters;
};
struct engine_view {
    std::int64_t boot = 0;
    std::int64_t memory_bytes = 0;
    std::int64_t used_bytes = 0;
    std::vector<engine_model> models;
    bool operator==(const engine_view& other) const;
};

/// Taken before the engine's state is asked for: a read that an order overlapped, or that is too early, is
/// not taken as the truth.
struct read_mark {
    std::uint64_t sequence = 0;
    common::time_point asked;
};

struct ledger_options {
    std::int64_t capacity = 0;                 // bytes; the engine's own figure counts if lower
    common::milliseconds order_timeout{2'000}; // after that no sent order can still arrive at the engine
    common::milliseconds min_idle_before_eviction{
        5'000}; // a replica loaded or used more recently is not evicted
};

class ledger {
public:
    explicit ledger(ledger_options options) : options_(options), capacity_(options.capacity) {}

    // Orders. Each `start` must be followed by exactly one *_finished with what became of it.
    load_answer order_load(const order& wanted, common::time_point now);
    order_answer order_unload(const order& wanted, common::time_point now);
    adapter_answer order_adapter(const adapter_key& key, std::int64_t bytes, common::time_point now);
    void load_finished(const std::string& model, order_outcome outcome, common::time_point now);
    void unload_finished(const std::string& model, order_outcome outcome, common::time_point now);
    void adapter_load_finished(const adapter_key& key, order_outcome outcome, common::time_point now);
    void adapter_unload_finished(const adapter_key& key, order_outcome outcome, common::time_point now);

    /// Accepted loads that fit by now, and drained replicas; both are marked under way.
    std::vector<std::string> loads_to_start(common::time_point now);
    std::vector<std::string> unloads_to_start();

    // Use by requests; each acquire needs one release.
    bool acquire(const std::string& model, common::time_point now); // false unless loaded
    void release(const std::string& model, common::time_point now);
    bool acquire_adapter(const adapter_key& key, common::time_point now); // false unless loaded
    void release_adapter(const adapter_key& key, common::time_point now);

    // The engine's state. A read that an order overlapped only tells the boot.
    [[nodiscard]] read_mark mark(common::time_point now) const { return {sequence_, now}; }
    /// True if the engine has restarted since the last read.
    bool adopt(const engine_view& view, const read_mark& mark, common::time_point now);
    void engine_gone(common::time_point now); // connection refused: nothing is loaded any more

    [[nodiscard]] bool settled() const { return settled_; } // what the engine holds is known
    [[nodiscard]] const std::map<std::string, replica>& replicas() const { return replicas_; }
    [[nodiscard]] std::int64_t capacity() const { return capacity_; }
    [[nodiscard]] std::int64_t used() const;       // all that is or may be at the engine
    [[nodiscard]] std::int64_t free_bytes() const; // beyond what is used or promised; 0 until settled
    [[nodiscard]] std::int64_t boot() const { return boot_; }

private:
    bool is_stale(const order& wanted);
    [[nodiscard]] std::int64_t bytes_promised() const;
    [[nodiscard]] std::int64_t bytes_being_unloaded() const;
    [[nodiscard]] std::optional<std::string> least_valuable(common::time_point now) const;
    [[nodiscard]] std::optional<adapter_key> oldest_idle_adapter() const;
    void drop_loaded(common::time_point now);
    void settle(const engine_view& view, const read_mark& mark, common::time_point now);
    void take_over(const engine_view& view, common::time_point asked, common::time_point now);

    ledger_options options_;
    std::int64_t capacity_;
    std::int64_t unaccounted_ = 0; // used at the engine by what the ledger doesn't list
    /// An adapter's order that may still arrive after the engine lost the model that it belongs to.
    struct late_order {
        std::int64_t bytes = 0;
        common::time_point since;
    };
    std::vector<late_order> late_orders_;
    std::map<std::string, replica> replicas_;
    std::map<std::string, std::int64_t> highest_decision_; // by model
    std::map<int, std::int64_t> highest_fencing_;          // by shard
    std::uint64_t sequence_ = 0;                           // rises when an order leaves or ends
    std::int64_t boot_ = 0;
    bool settled_ = false;
    bool settles_on_next_read_ = false;     // every order that can be under way is this ledger's own
    std::optional<engine_view> first_view_; // until settled
    common::time_point first_view_at_;
};

[[nodiscard]] const char* name_of(replica_state state);

} // namespace waxwinglb::core::memory
