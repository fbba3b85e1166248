/// Watches the platform's store: configuration, registered targets, data centres taken out of service, and
/// the other gateways.
///
/// Only a few gateways watch closely (core/membership/store_readers) and announce what changes. The
/// others wait for a new configuration in long watches, and look at the other kinds once in a while.
#pragma once

#include "programs/gateway/kind_watch.hpp"
#include "programs/gateway/target_history.hpp"

#include <array>
#include <functional>

namespace waxwinglb::programs::gateway {

class store_watch {
public:
    /// Another gateway, or this one, as registered.
    struct member {
        std::string address;     // for peers' messages
        std::string data_centre; // empty: registered by an earlier version
    };
    struct callbacks {
        std::function<void(std::string text)> on_config; // a newer configuration is in force; its JSON text
        std::function<void()> on_targets;                // targets or data centres taken out changed
        std::function<void(const std::map<std::string, member>&)> on_members; // by gateway's name
    };
    store_watch(gateway_context& context, platform::store_client& store, callbacks handlers);
    void start();
    void list_again();                              // all kinds
    void watch_closely();                           // all kinds
    void report_ages(core::common::time_point now); // as metrics
    /// Reads what this gateway relies on its peers for, where what they told is too old.
    void read_if_old(core::common::time_point now);

    /// Lists the targets that are registered now, and reads what the list doesn't show; see kind_watch.
    void confirm_targets(kind_watch::confirmation on_done);

    /// Applies a configuration document from the store or a peer; older versions are ignored.
    void apply_config(const nlohmann::json& spec, const std::string& source);
    [[nodiscard]] bool reads_config() const { return config_watch_.answering(); }
    [[nodiscard]] bool reads_targets() const { return targets_watch_.answering(); }
    /// Logs the data centres that are out and tells the other parts. `source`: "store", a peer or "hold".
    void centres_changed(core::common::store_position at, const std::string& source);

private:
    struct viewed_kind {
        core::membership::stored_kind kind;
        kind_watch& watch;
    };
    [[nodiscard]] std::array<viewed_kind, core::membership::stored_kinds> viewed_kinds();
    void apply_config_objects(const platform::store_reply& reply);
    void list_targets(const platform::store_reply& reply, core::fleet::list_source source);
    void change_targets(const platform::store_reply& reply);
    void list_centres(const platform::store_reply& reply);
    void change_centres(const platform::store_reply& reply);
    void list_members(const platform::store_reply& reply, core::fleet::list_source source);
    void change_members(const platform::store_reply& reply);
    std::optional<core::fleet::target_entry> decode_target(const platform::stored_object& object);
    void log_ignored(const std::string& target, const std::string& why);
    void log_not_understood(const core::fleet::target_entry& entry);
    void log_target(const core::fleet::target_entry& entry, const char* change);

    gateway_context& context_;
    callbacks callbacks_;
    target_history history_;
    kind_watch config_watch_;
    kind_watch targets_watch_;
    kind_watch centres_watch_;
    kind_watch members_watch_;
    std::map<std::string, member> members_;      // by name
    std::map<std::string, std::string> ignored_; // why, by name: entries that name no target and have a line
    std::map<std::string, std::string> not_understood_; // fields, by name of the target; likewise
};

} // namespace waxwinglb::programs::gateway
