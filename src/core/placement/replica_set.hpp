/// The decision of one model's replica set: which targets may hold it. No input or output.
///
/// A decision (a number that only rises, and a list of targets, each to be loaded or unloaded) is stored
/// first; orders are sent for stored decisions only and carry its number and the shard's fencing number. A
/// target leaves the list only after its agent confirmed an unload of the decision that asked for it, or its
/// VM is gone. An agent refuses orders with lower numbers than it has seen, so a load ordered before a
/// confirmed unload can't come true after it. Orders are bound to the agent process that the holder sees: a
/// link opened to another process carries none.
///
/// `max_replicas` bounds the replicas meant to serve. A replica on a target that is left (data centre out, VM
/// leaving) doesn't count any more: its replacement is loaded first.
#pragma once

#include "core/common/time.hpp"
#include "core/placement/target_choice.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace waxwinglb::core::placement {

enum class intent { load, unload };

enum class member_state {
    ordered,   // nothing heard yet: counts as loaded
    loading,   // the agent has begun
    loaded,    // serves
    unloading, // the agent has begun to unload
};

/// One target of the set.
struct member {
    std::string target;
    intent wanted = intent::load;
    std::int64_t since = 0;                     // decision that set `wanted`; carried by its orders
    member_state state = member_state::ordered; // not stored: heard from the agent
    common::time_point order_again{};           // not stored: orders are repeated until answered
    common::duration idle{};                    // not stored: as the agent says
};

/// A list of targets under a number.
struct decision {
    std::int64_t number = 0;
    std::vector<member> members;
};

/// Order to one agent; never sent before its decision is stored.
struct order {
    intent kind = intent::load;
    std::string target;
    std::int64_t boot = 0;     // agent process that it is meant for
    std::int64_t decision = 0; // with the shard's fencing number
};

/// An agent's answer to an order.
struct order_outcome {
    std::string target;
    std::int64_t decision = 0;
    enum class kind { loading, loaded, unloading, unloaded, refused } what = kind::refused;
};

/// Waiting work of one router for the model.
struct waiting {
    int requests = 0;
    std::int64_t tokens = 0;
    common::duration oldest_remaining{}; // time left of the most urgent one
};

/// Load of the loaded replicas together, from the agents' reports.
struct set_load {
    int running = 0;
    int waiting = 0;
    int limit = 0; // sum of admission limits
};

/// What a plan is made from.
struct plan_input {
    std::span<const target_view> targets; // all that serve the model's service
    std::int64_t bytes = 0;               // of one replica
    int max_replicas = 1;
    int spare_replicas = 0;        // of the preset in force
    common::duration idle_limit{}; // unload after this, see idle_policy
    load_times times;
    set_load load;
    int concurrency = 4; // requests that one replica bears, while none is loaded to tell
};

struct replica_set_options {
    common::milliseconds waiting_kept{3'000}; // a router's report counts this long
    common::milliseconds order_repeat{1'000}; // an unanswered order is sent again
    double scale_down_load = 0.5;             // of the limits left, below which a replica may go
};

class replica_set {
public:
    explicit replica_set(replica_set_options options = {}) : options_(options) {}
    /// From the shard's object; nullopt if malformed. What the agents hold is unknown until they say.
    static std::optional<replica_set> decode(const nlohmann::json& value, replica_set_options options = {});
    /// The stored decision; empty sets of never used models need not be stored.
    [[nodiscard]] nlohmann::json encode(const decision& value) const;

    /// A router's waiting work, replacing what it said before; 0 requests ends it.
    void note_waiting(common::time_point now, const std::string& router, const waiting& work);

    /// The next decision, if the set should change. At most one is open: until it is `stored` or `dropped`
    /// there is no further one, so a burst of first requests makes one decision.
    std::optional<decision> plan(common::time_point now, const plan_input& input);
    void stored(std::int64_t number);  // the store has it: orders follow
    void dropped(std::int64_t number); // the store refused it, for sure

    /// Orders that are due now for the stored decision.
    std::vector<order> orders(common::time_point now, std::span<const target_view> targets);

    /// Takes in an agent's answer or report; old or doubled ones change nothing that matters.
    void on_outcome(const order_outcome& outcome);
    void on_report(const std::string& target, member_state state, common::duration idle);
    /// The agent (process `boot`) has restarted or lost the model: its state is unknown again.
    void on_unknown(const std::string& target);

    [[nodiscard]] const decision& current() const { return current_; } // as stored
    [[nodiscard]] bool open() const { return proposed_.has_value(); }
    [[nodiscard]] waiting waiting_now(common::time_point now) const; // sum over routers
    [[nodiscard]] const member* find(const std::string& target) const;

private:
    struct report {
        waiting work;
        common::time_point at{};
    };
    void remove_gone(decision& next, std::span<const target_view> targets) const;
    void leave_targets(decision& next, const plan_input& input) const;
    void scale(common::time_point now, decision& next, const plan_input& input) const;

    replica_set_options options_;
    decision current_;
    std::optional<decision> proposed_;
    std::map<std::string, report> waiting_; // by router
    std::vector<std::string> unloaded_;     // confirmed for the current decision; to be removed by the next
};

} // namespace waxwinglb::core::placement
