/// Decides which targets may hold a model: its replica set. Does no I/O. Used by the steward that holds the
/// model's shard (the holder); the gateway plans its loads with core/load_planning.
///
/// A decision is a number that only rises and a list of targets, each to be loaded or unloaded. It is stored
/// first; orders are sent only for stored decisions and carry the decision's number and the shard's fencing
/// number. A target leaves the list only after its agent has confirmed the unload of the decision that asked
/// for it, or once its VM is removed. An agent refuses orders with numbers lower than the highest it has
/// seen, so a load ordered before a confirmed unload can't take effect after it. Orders are bound to the
/// agent process that the holder sees: they are not sent over a link to another process.
///
/// `max_replicas` bounds the replicas that should serve. A replica on a target that is being left (data
/// centre taken out, VM leaving) doesn't count: its replacement is loaded before it is unloaded.
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
    intent intended = intent::load;
    std::int64_t since = 0; // number of the decision that set `intended`; sent with its orders
};

/// A numbered list of targets.
struct decision {
    std::int64_t number = 0;
    std::vector<member> members;
};

/// The model's state at one agent, as last reported to the holder.
enum class member_state {
    unknown, // treated as loaded; orders are repeated
    loading,
    loaded, // serves
    unloading,
};

/// Order to one agent, made only for a stored decision.
struct order {
    intent kind = intent::load;
    std::string target;
    std::string version;
    std::int64_t boot = 0;     // the agent process that may get it
    std::int64_t decision = 0; // sent with the shard's fencing number
};

enum class order_result { loading, loaded, unloading, unloaded, refused };

/// An agent's answer to an order.
struct order_outcome {
    std::string target;
    std::int64_t decision = 0;
    order_result result = order_result::refused;
};

/// One router's requests that wait for the model.
struct waiting_work {
    int requests = 0;
    std::int64_t tokens = 0;
    common::duration oldest_remaining{}; // time left until the most urgent one's deadline
};

/// Input of one planning pass.
struct plan_input {
    std::span<const target_view> targets; // all targets of the model's service
    std::string version;                  // configured version; replicas of another one are replaced
    std::int64_t bytes = 0;               // of one replica
    int max_replicas = 1;
    int spare_replicas = 0;        // from the preset in force
    common::duration idle_limit{}; // unload after this idle time, see idle_policy.hpp
    load_times times;
    int running = 0;     // requests at the loaded replicas
    int queued = 0;      // requests waiting at their agents
    int concurrency = 4; // requests that one warm replica serves at once
};

struct replica_set_options {
    common::milliseconds waiting_report_ttl{3'000}; // a router's report of waiting work counts for this long
    common::milliseconds order_repeat{1'000};       // an unanswered order is sent again after this
    common::milliseconds silent_after{6'000};       // a target unreachable for longer is replaced
    common::milliseconds avoid_refused{5'000};      // no new load at a target that refused one, for this long
    double scale_down_load = 0.5; // a replica may go if the others' concurrency times this suffices
};

class replica_set {
public:
    explicit replica_set(replica_set_options options = {}) : options_(options) {}
    /// Reads a set from the shard's object; nullopt if malformed. Each agent's state is unknown until it
    /// reports.
    static std::optional<replica_set> decode(const nlohmann::json& value, replica_set_options options = {});
    [[nodiscard]] static nlohmann::json encode(const decision& value);

    /// Records a router's waiting work, replacing its last report; 0 requests removes it.
    void note_waiting(common::time_point now, const std::string& router, const waiting_work& work);

    /// Returns the next decision if the set should change. There is no further one until it is `stored` or
    /// `dropped`, so a burst of first requests makes only one decision.
    std::optional<decision> plan(common::time_point now, const plan_input& input);
    void stored(std::int64_t number);  // the store has accepted it: its orders become due
    void dropped(std::int64_t number); // the store has certainly refused it

    /// Orders that are due for the stored decision; each stays due until `sent`. The caller may hold back a
    /// load until it has a slot.
    [[nodiscard]] std::vector<order> orders(common::time_point now,
                                            std::span<const target_view> targets) const;
    void sent(common::time_point now, const order& one);

    /// Processes an agent's answer; outdated and duplicate ones change nothing.
    void on_outcome(common::time_point now, const order_outcome& outcome);
    /// Processes a target_report: the model's state and idle time at that target; `unknown` if not listed.
    void on_report(const std::string& target, member_state state, common::duration idle);

    [[nodiscard]] const decision& current() const { return current_; } // as stored
    [[nodiscard]] bool open() const { return proposed_.has_value(); }
    [[nodiscard]] waiting_work waiting_now(common::time_point now) const; // sum over all routers
    [[nodiscard]] member_state state_of(const std::string& target) const;

private:
    struct waiting_report {
        waiting_work work;
        common::time_point at{};
    };
    struct agent_state {
        member_state state = member_state::unknown;
        common::duration idle{};
        common::time_point order_due{};
        std::optional<common::time_point> silent_since;
    };
    struct plan_state; // working state of one planning pass

    void note_silence(common::time_point now, std::span<const target_view> targets);
    void drop_members(plan_state& work) const;
    void unload_surplus_members(plan_state& work) const;
    void add_members(plan_state& work) const;
    void unload_surplus(plan_state& work);
    [[nodiscard]] bool serves(const plan_state& work, const member& one) const;
    [[nodiscard]] bool silent(common::time_point now, const std::string& target) const;
    [[nodiscard]] bool used_recently(const member& one, common::duration idle_limit) const;
    [[nodiscard]] int desired(const plan_state& work) const;

    replica_set_options options_;
    decision current_;
    std::optional<decision> proposed_;
    std::map<std::string, waiting_report> waiting_;   // by router
    std::map<std::string, agent_state> agent_states_; // by target of the stored decision
    std::map<std::string, std::int64_t> unloaded_; // confirmed unloads: target -> decision that asked for it
    std::map<std::string, std::int64_t>
        failed_; // refused loads: target -> decision; still to be unloaded, to be certain
    std::map<std::string, common::time_point> avoid_until_; // target -> until when it gets no new loads
    std::optional<common::time_point> surplus_since_;       // since when fewer replicas would suffice
};

} // namespace waxwinglb::core::placement
