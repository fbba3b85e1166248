/// Follows the platform's store: the configuration, the registered targets, data centres taken out, and the
/// other gateways. Watches that end, stay silent or lose their history list again.
#pragma once

#include "platform/store_client.hpp"
#include "programs/gateway/context.hpp"

#include <functional>

namespace waxwinglb::programs::gateway {

/// One kind of object, followed for as long as the process runs.
class kind_watch {
public:
    struct follow_times {
        core::common::milliseconds wait;         // of one watch; bounds what a silent connection costs
        core::common::milliseconds pause;        // between two watches, so that changes come in batches
        core::common::milliseconds relaxed_wait; // both while the order giver is heard
        core::common::milliseconds relaxed_pause;
    };
    struct owner {
        std::function<void(const platform::store_reply&)> on_list;
        std::function<void(const platform::store_reply&)> on_events;
    };
    kind_watch(gateway_context& context, platform::store_client& store, std::string kind, follow_times times,
               owner to)
        : context_(context), store_(store), kind_(std::move(kind)), times_(times), owner_(std::move(to)) {}

    void start();
    void follow_closely(); // the order giver isn't heard any more: ends a long watch or pause
    [[nodiscard]] bool answering() const { return answering_; }
    [[nodiscard]] const std::string& kind() const { return kind_; }
    [[nodiscard]] core::common::time_point answered_at() const { return answered_at_; }

private:
    void list();
    void watch();
    void take(const platform::store_reply& reply);
    void next(core::common::milliseconds after);
    void heard(const platform::store_reply& reply, const char* call);

    gateway_context& context_;
    platform::store_client& store_;
    std::string kind_;
    follow_times times_;
    owner owner_;
    std::int64_t revision_ = 0; // to watch from; 0: list first
    bool answering_ = true;
    core::common::time_point answered_at_{}; // by the store; the start's before its first answer
    int failures_ = 0;                       // in a row
    bool relaxed_ = false;                   // the watch or pause under way relies on the order giver's word
    std::uint64_t generation_ = 0;           // of calls and pauses: what an older one brings is ignored
};

class store_watch {
public:
    struct owner {
        std::function<void()> on_config;  // a newer one is in force
        std::function<void()> on_targets; // targets or data centres changed
        std::function<void(std::map<std::string, std::string>)>
            on_members; // gateway's name -> peers' address
    };
    store_watch(gateway_context& context, platform::store_client& store, owner to);
    void start();
    void follow_closely();                        // all kinds
    void tell_ages(core::common::time_point now); // to the metrics

    /// Takes over a configuration's document from wherever it came; older ones are ignored.
    void offer_config(const nlohmann::json& spec, const std::string& source);
    [[nodiscard]] bool reads_targets() const { return targets_.answering(); }
    /// Text of the configuration in force, for peers that can't reach the store.
    [[nodiscard]] const std::string& config_text() const { return config_text_; }

private:
    void take_config(const platform::store_reply& reply);
    void take_targets(const platform::store_reply& reply, bool complete);
    void take_centres(const platform::store_reply& reply, bool complete);
    void take_members(const platform::store_reply& reply, bool complete);
    std::optional<core::fleet::target_entry> decode_target(const platform::stored_object& object);
    void log_target(const core::fleet::target_entry& entry, const char* change);

    gateway_context& context_;
    owner owner_;
    kind_watch config_;
    kind_watch targets_;
    kind_watch centres_;
    kind_watch members_watch_;
    std::string config_text_;
    std::map<std::string, std::string> members_;
};

} // namespace waxwinglb::programs::gateway
