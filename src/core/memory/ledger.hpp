/// Memory ledger of one target, kept by its agent: tracks what is loaded there and what may be loaded next.
///
/// Memory is reserved before an order is sent to the engine and freed only after the engine has confirmed the
/// unload. Whatever is uncertain (a lost answer, a restart of the agent) counts as loaded until the engine's
/// state has been read. Orders with a number lower than the highest seen are refused here, because engines
/// may ignore fencing numbers.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::memory {

enum class replica_state {
    awaiting_room, // accepted; its order is sent once the evicted replicas are confirmed as unloaded
    loading,       // order under way
    loaded,
    draining,  // unload accepted; waits for the last request to end
    unloading, // order under way
    unknown,   // the answer to its order was lost
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
    std::int64_t decision = 0; // number of the decision that asked for it; 0: found at the engine
    replica_state state = replica_state::unknown;
    bool unload_lost = false;          // if unknown: the lost answer was to an unload
    std::int64_t boot = 0;             // engine boot when the order under way was sent
    int in_use = 0;                    // requests running or waiting
    common::time_point last_used;      // or when its state last changed
    common::time_point load_by;        // in awaiting_room and loading: the order's deadline
    common::milliseconds load_time{0}; // measured; 0: not known
    std::map<std::string, adapter> adapters;
};

/// An order from the steward that holds the model's shard.
struct order {
    std::string model;
    std::string version;
    std::int64_t decision = 0;
    std::int64_t fencing = 0;
    int shard = 0; // of the model; fencing numbers are compared within a shard
    std::int64_t bytes = 0;
    common::time_point load_by;
};

enum class order_answer {
    start,     // send the order to the engine now
    wait,      // accepted; starts when there is room, or when the last request has ended
    done,      // already loaded or unloaded
    under_way, // the same order is already being carried out
    stale,     // has a number lower than the highest seen
    busy,      // another order for this model is under way
    no_memory, // does not fit, even if all idle replicas were evicted
    unsettled, // what the engine holds is not known yet
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

/// Outcome of an order sent to the engine.
enum class order_outcome {
    done,     // confirmed
    refused,  // the engine answered that it did not carry out the order
    not_sent, // the engine never saw it
    lost,     // no answer, or an inconclusive one
};

/// What the engine reports that it holds.
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

/// Taken before the engine's state is read, to detect reads that overlap an order and reads made too early;
/// neither shows reliably what the engine holds.
struct read_mark {
    std::uint64_t sequence = 0;
    common::time_point asked;
};

struct ledger_options {
    std::int64_t capacity = 0;                            // bytes; the engine's own limit applies if lower
    common::milliseconds order_timeout{2'000};            // a sent order cannot reach the engine after this
    common::milliseconds min_idle_before_eviction{5'000}; // replicas loaded or used since then stay
};

class ledger {
public:
    explicit ledger(ledger_options options) : options_(options), capacity_(options.capacity) {}

    // Orders. Each answer `start`, and each model or adapter to evict, must be followed by exactly one call
    // of the matching *_finished with the outcome.
    load_answer order_load(const order& requested, common::time_point now);
    order_answer order_unload(const order& requested, common::time_point now);
    adapter_answer order_adapter(const adapter_key& key, std::int64_t bytes, common::time_point now);
    void load_finished(const std::string& model, order_outcome outcome, common::time_point now);
    void unload_finished(const std::string& model, order_outcome outcome, common::time_point now);
    void adapter_load_finished(const adapter_key& key, order_outcome outcome, common::time_point now);
    void adapter_unload_finished(const adapter_key& key, order_outcome outcome, common::time_point now);

    /// Accepted loads that fit now, and drained replicas; the caller must send their orders, which are marked
    /// as under way.
    std::vector<std::string> loads_to_start(common::time_point now);
    std::vector<std::string> unloads_to_start();

    // Use by requests; each acquire needs one release.
    bool acquire(const std::string& model, common::time_point now); // false unless loaded
    void release(const std::string& model, common::time_point now);
    bool acquire_adapter(const adapter_key& key, common::time_point now); // false unless loaded
    void release_adapter(const adapter_key& key, common::time_point now);

    // The engine's state. From a read that overlapped an order only the boot and the memory size are taken.
    [[nodiscard]] read_mark mark(common::time_point now) const { return {sequence_, now}; }
    /// Takes over the engine's state. Returns true if the engine has restarted since the last read.
    bool adopt(const engine_view& view, const read_mark& mark, common::time_point now);
    void engine_gone(common::time_point now); // connection refused: the engine has lost all it held

    [[nodiscard]] bool settled() const { return settled_; } // what the engine holds is known
    [[nodiscard]] const std::map<std::string, replica>& replicas() const { return replicas_; }
    [[nodiscard]] std::int64_t capacity() const { return capacity_; }
    [[nodiscard]] std::int64_t used() const;       // bytes of all that is or may be at the engine
    [[nodiscard]] std::int64_t free_bytes() const; // neither used nor promised; 0 until settled
    [[nodiscard]] std::int64_t boot() const { return boot_; }

private:
    bool is_stale(const order& requested);
    [[nodiscard]] std::int64_t bytes_promised() const;
    [[nodiscard]] std::int64_t bytes_being_unloaded() const;
    [[nodiscard]] std::optional<std::string> least_valuable(common::time_point now) const;
    [[nodiscard]] std::optional<adapter_key> oldest_idle_adapter() const;
    void drop_loaded(common::time_point now);
    void settle(const engine_view& view, const read_mark& mark, common::time_point now);
    void take_over(const engine_view& view, common::time_point asked, common::time_point now);

    ledger_options options_;
    std::int64_t capacity_;
    std::int64_t unaccounted_ = 0; // bytes in use at the engine that the ledger can't attribute
    /// An adapter load that may still arrive although the engine has lost the adapter's model.
    struct late_order {
        std::int64_t bytes = 0;
        common::time_point since;
    };
    std::vector<late_order> late_orders_;
    std::map<std::string, replica> replicas_;
    std::map<std::string, std::int64_t> highest_decision_; // by model
    std::map<int, std::int64_t> highest_fencing_;          // by shard
    std::uint64_t sequence_ = 0;                           // rises when an order is sent or ends
    std::int64_t boot_ = 0;
    bool settled_ = false;
    bool settles_on_next_read_ = false;     // any order under way was sent by this ledger
    std::optional<engine_view> first_view_; // first of the equal reads, until settled
    common::time_point first_view_at_;
};

[[nodiscard]] const char* name_of(replica_state state);

} // namespace waxwinglb::core::memory
