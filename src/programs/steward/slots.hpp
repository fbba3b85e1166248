/// Weight slots: the queue before the weight store, kept by the holder of shard "weight-slots", and this
/// steward's own wishes for its load orders.
#pragma once

#include "core/placement/weight_slots.hpp"
#include "programs/steward/context.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds slot_again{500}; // an asker repeats its wish, also while it holds a slot
constexpr core::common::milliseconds slot_learning{800}; // a new holder first learns which loads already run

/// The holder's side.
class slot_service {
public:
    explicit slot_service(steward_context& context) : context_(context) {}

    void acquired(bool first_holder, core::common::time_point now);
    void lost() { queue_.reset(); }
    [[nodiscard]] bool holds() const { return queue_.has_value(); }

    void request(edge::link_id link, std::int64_t call, const std::string& process,
                 const wire::slot_request& request, core::common::time_point now);
    /// For this steward's own loads, which need no link.
    core::placement::slot_answer request_own(const std::string& asker, const wire::slot_request& request,
                                             core::common::time_point now);
    void release(const std::string& asker, core::common::time_point now);
    void tick(core::common::time_point now);
    [[nodiscard]] std::set<std::string> take_own_granted() { return std::exchange(own_granted_, {}); }

private:
    struct asker_entry {
        edge::link_id link = 0; // 0: this steward
        std::int64_t call = 0;
        std::string service;
        std::string model;
    };
    core::placement::slot_answer ask(const std::string& asker, const wire::slot_request& request,
                                     core::common::time_point now);

    steward_context& context_;
    std::optional<core::placement::weight_slots> queue_;
    core::common::time_point learning_until_{};
    std::map<std::string, asker_entry> askers_;
    std::set<std::string> own_granted_;
};

/// A load's wish, sent to whoever holds the queue until it is granted, and kept up until the load has ended.
class slot_client {
public:
    slot_client(steward_context& context, slot_service& local) : context_(context), local_(local) {}

    struct wish {
        std::string service;
        std::string model;
        std::string target;
        std::string customer;
        core::common::duration remaining{};
    };
    /// True once granted. Asks, and asks again when due.
    bool granted(const wish& wish, core::common::time_point now);
    void release(const std::string& service, const std::string& model, const std::string& target,
                 core::common::time_point now);
    void answered(const wire::slot_result& result);
    void tick(core::common::time_point now);
    void holder_link(edge::link_id link) { holder_ = link; } // 0: unknown
    [[nodiscard]] core::common::duration estimate() const { return estimate_; }

private:
    struct wish_entry {
        wish asked;
        bool granted = false;
        core::common::time_point asked_at{};
        core::common::time_point deadline{};
        core::common::time_point wanted_at{}; // last time that its load still waited or ran
    };
    static std::string name_of(const wish& one) { return one.model + "|" + one.target; }
    void ask(wish_entry& one, core::common::time_point now);
    void send(const wish_entry& one, bool release, core::common::time_point now);

    steward_context& context_;
    slot_service& local_;
    edge::link_id holder_ = 0;
    std::map<std::string, wish_entry> wishes_; // by service and name
    core::common::duration estimate_{};
};

} // namespace waxwinglb::programs::steward
