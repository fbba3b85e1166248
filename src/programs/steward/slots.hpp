/// Weight slots: the queue for loads from the weight store, kept by the holder of shard "weight-slots", and
/// the client that requests slots for this steward's load orders.
#pragma once

#include "core/placement/weight_slots.hpp"
#include "programs/steward/context.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds slot_repeat_interval{500}; // also while the requester holds a slot
constexpr core::common::milliseconds slot_learning_period{800}; // a new holder learns of running loads

/// Queue of the shard's holder.
class slot_service {
public:
    explicit slot_service(steward_context& context) : context_(context) {}

    void on_acquired(bool first_holder, core::common::time_point now);
    void on_lost() { queue_.reset(); }
    [[nodiscard]] bool holds() const { return queue_.has_value(); }

    void on_request(edge::link_id link, std::int64_t call, const std::string& process,
                    const wire::slot_request& request, core::common::time_point now);
    /// Requests a slot for a load of this steward, without a link.
    core::placement::slot_answer request_local(const std::string& requester,
                                               const wire::slot_request& request,
                                               core::common::time_point now);
    void release(const std::string& requester, core::common::time_point now);
    void tick(core::common::time_point now);
    [[nodiscard]] std::set<std::string> take_local_granted() { return std::exchange(local_granted_, {}); }

private:
    struct requester_entry {
        edge::link_id link = 0; // 0: this steward
        std::int64_t call = 0;
        std::string service;
        std::string model;
    };
    core::placement::slot_answer ask(const std::string& requester, const wire::slot_request& request,
                                     core::common::time_point now);

    steward_context& context_;
    std::optional<core::placement::weight_slots> queue_;
    core::common::time_point learning_until_{};
    std::map<std::string, requester_entry> requesters_;
    std::set<std::string> local_granted_;
};

/// Requests slots for this steward's loads from the holder of the queue, and renews each slot until its load
/// has ended.
class slot_client {
public:
    slot_client(steward_context& context, slot_service& local) : context_(context), local_(local) {}

    struct pending_load {
        std::string service;
        std::string model;
        std::string target;
        std::string customer;
        core::common::duration remaining{};
    };
    /// Returns whether the load has a slot; otherwise requests it, and repeats the request when due.
    bool granted(const pending_load& load, core::common::time_point now);
    void release(const std::string& service, const std::string& model, const std::string& target,
                 core::common::time_point now);
    void on_result(const wire::slot_result& result);
    void tick(core::common::time_point now);
    void set_holder_link(edge::link_id link) { holder_ = link; } // 0: unknown
    [[nodiscard]] core::common::duration estimate() const { return estimate_; }

private:
    struct load_entry {
        pending_load load;
        bool granted = false;
        core::common::time_point asked_at{};
        core::common::time_point deadline{};
        core::common::time_point requested_at{}; // last call of granted() for the load
    };
    static std::string name_of(const pending_load& load) { return load.model + "|" + load.target; }
    void ask(load_entry& entry, core::common::time_point now);
    void send(const load_entry& entry, bool release, core::common::time_point now);

    steward_context& context_;
    slot_service& local_;
    edge::link_id holder_ = 0;
    std::map<std::string, load_entry> loads_; // by "service/model|target"
    core::common::duration estimate_{};
};

} // namespace waxwinglb::programs::steward
