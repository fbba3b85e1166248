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
#include "core/placement/replica_target.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace waxwinglb::core::placement {

enum class intent { load, unload };

/// One target of the set, as stored.
struct member {
    std::string target;
    std::string version; // of the model's weights
    intent wanted = intent::load;
    std::int64_t since = 0; // decision that set `wanted`; carried by its orders
};

/// A list of targets under a number.
struct decision {
    std::int64_t number = 0;
    std::vector<member> members;
};

/// What an agent holds of the model, as far as the holder has heard.
enum class member_state {
    unknown, // counts as loaded; orders are repeated
    loading,
    loaded, // serves
    unloading,
};

/// Order to one agent; exists only for a stored decision.
struct order {
    intent kind = intent::load;
    std::string target;
    std::string version;
    std::int64_t boot = 0;     // agent process that it is meant for; send it to no other
    std::int64_t decision = 0; // sent with the shard's fencing number
};

enum class order_result { loading, loaded, unloading, unloaded, refused };

/// An agent's answer to an order.
struct order_outcome {
    std::string target;
    std::int64_t decision = 0;
    order_result result = order_result::refused;
};

/// Waiting work of one router for the model.
struct waiting_work {
    int requests = 0;
    std::int64_t tokens = 0;
    common::duration oldest_remaining{}; // time left of the most urgent one
};

/// What a plan is made from.
struct plan_input {
    std::span<const target_view> targets; // all that serve the model's service
    std::string version;                  // configured; replicas of another one are replaced
    std::int64_t bytes = 0;               // of one replica
    int max_replicas = 1;
    int spare_replicas = 0;        // of the preset in force
    common::duration idle_limit{}; // unload after this, see idle_policy
    load_times times;
    int running = 0;     // requests at the loaded replicas
    int queued = 0;      // requests waiting at their agents
    int concurrency = 4; // requests that one warm replica bears
};

struct replica_set_options {
    common::milliseconds waiting_kept{3'000};  // a router's report counts this long
    common::milliseconds order_repeat{1'000};  // an unanswered order is due again
    common::milliseconds silent_after{6'000};  // a target unheard for longer is replaced
    common::milliseconds avoid_refused{5'000}; // no new load at a target that refused one
    double scale_down_load = 0.5;              // of the concurrency left, below which a replica may go
};

class replica_set {
public:
    explicit replica_set(replica_set_options options = {}) : options_(options) {}
    /// From the shard's object; nullopt if malformed. What the agents hold is unknown until they say.
    static std::optional<replica_set> decode(const nlohmann::json& value, replica_set_options options = {});
    [[nodiscard]] static nlohmann::json encode(const decision& value);

    /// A router's waiting work, replacing what it said before; 0 requests ends it.
    void note_waiting(common::time_point now, const std::string& router, const waiting_work& work);

    /// The next decision, if the set should change. Until it is `stored` or `dropped` there is no further
    /// one, so a burst of first requests makes one decision.
    std::optional<decision> plan(common::time_point now, const plan_input& input);
    void stored(std::int64_t number);  // the store has accepted it: orders follow
    void dropped(std::int64_t number); // the store has refused it, for certain

    /// Orders that are due for the stored decision; each stays due until `sent`. Loads may first wait for a
    /// slot.
    [[nodiscard]] std::vector<order> orders(common::time_point now,
                                            std::span<const target_view> targets) const;
    void sent(common::time_point now, const order& one);

    /// Takes in an agent's answer; old and doubled ones change nothing.
    void on_outcome(common::time_point now, const order_outcome& outcome);
    /// Takes in what a target_report says of the model: its state and idle time, or that it isn't there.
    void on_report(const std::string& target, member_state state, common::duration idle);

    [[nodiscard]] const decision& current() const { return current_; } // as stored
    [[nodiscard]] bool open() const { return proposed_.has_value(); }
    [[nodiscard]] waiting_work waiting_now(common::time_point now) const; // sum over routers
    [[nodiscard]] member_state state_of(const std::string& target) const;

private:
    struct report {
        waiting_work work;
        common::time_point at{};
    };
    struct heard {
        member_state state = member_state::unknown;
        common::duration idle{};
        common::time_point order_due{};
        std::optional<common::time_point> silent_since;
    };
    struct plan_state; // what one plan works on

    void note_silence(common::time_point now, std::span<const target_view> targets);
    void drop_members(plan_state& work) const;
    void leave_members(plan_state& work) const;
    void add_members(plan_state& work) const;
    void unload_surplus(plan_state& work);
    [[nodiscard]] bool serves(const plan_state& work, const member& one) const;
    [[nodiscard]] bool silent(common::time_point now, const std::string& target) const;
    [[nodiscard]] bool used_lately(const member& one, common::duration idle_limit) const;
    [[nodiscard]] int desired(const plan_state& work) const;

    replica_set_options options_;
    decision current_;
    std::optional<decision> proposed_;
    std::map<std::string, report> waiting_;           // by router
    std::map<std::string, heard> heard_;              // by target of the stored decision
    std::map<std::string, std::int64_t> unloaded_;    // confirmed: target and the decision that asked for it
    std::map<std::string, std::int64_t> failed_;      // refused loads, to be unloaded for certain
    std::map<std::string, common::time_point> avoid_; // targets without new loads until then
    std::optional<common::time_point> low_since_;     // fewer replicas would do since then
};

} // namespace waxwinglb::core::placement
