/// Watches one kind of object in the platform's store. After a failed call it retries; a watch whose history
/// the store no longer keeps, or whose store was restored from an older copy, starts again with a list.
#pragma once

#include "platform/store_client.hpp"
#include "programs/gateway/context.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace waxwinglb::programs::gateway {

class kind_watch {
public:
    struct watch_timing {
        core::common::milliseconds timeout;     // of one watch; bounds the delay caused by a dead connection
        core::common::milliseconds batch_delay; // between two watches; changes arrive in batches
        core::common::milliseconds relaxed_timeout; // both while others read the store closely; 0: a look
        core::common::milliseconds relaxed_delay;
        bool relaxed_lists = false; // a look reads all objects: the changes since the last one are too many
    };
    /// Between the last reading and a list, which shows no changes, only what they led to.
    struct gap {
        core::common::store_position since;  // of the last reading; revision 0: not known
        core::common::store_position listed; // of the list
        std::optional<core::common::time_point>
            from;                       // changes until then are applied; unset: nothing was read
        core::common::time_point until; // when the list's call was sent
    };
    struct callbacks {
        std::function<void(const platform::store_reply&, core::fleet::list_source)> on_list;
        std::function<void(const platform::store_reply&)> on_events;
        std::function<void(core::common::time_point)> on_current; // all changes until then are applied
        /// Called before each on_list.
        std::function<void(const gap&)> on_gap = [](const gap&) {};
    };
    /// Whether all changes that were made before the call of `confirm` are applied.
    using confirmation = std::function<void(bool)>;
    kind_watch(gateway_context& context, platform::store_client& store, std::string kind, watch_timing timing,
               callbacks handlers)
        : context_(context), store_(store), kind_(std::move(kind)), timing_(timing),
          callbacks_(std::move(handlers)) {}

    void start();
    void list_again();    // the store was restored: drops what is on its way
    void watch_closely(); // nobody else does any more: ends a relaxed watch or delay
    void read_now();      // once, in place of a relaxed watch or delay
    /// Lists all objects by a call that is sent from now on. Those that come together share one call.
    void confirm(confirmation on_done);
    [[nodiscard]] bool relies_on_peers() const { return relaxed_; }
    [[nodiscard]] bool answering() const { return answering_; }
    [[nodiscard]] bool receiving() const { return call_.receiving(); } // a part of an answer has come
    [[nodiscard]] const std::string& kind() const { return kind_; }
    [[nodiscard]] core::common::time_point answered_at() const { return answered_at_; }

private:
    void list();
    void call_next(); // the watch or list that is due
    void watch();
    void watch_for(core::common::milliseconds wait);
    void handle_list_reply(const platform::store_reply& reply);
    void handle_watch_reply(const platform::store_reply& reply);
    void log_unnamed(const platform::store_reply& reply, const char* call);
    void schedule_next(core::common::milliseconds after);
    void schedule_after_reply(core::common::milliseconds close_delay);
    void retry_later(); // after a failed call
    void supersede();   // ends the current call or delay, so that no second call uses the link beside it
    void end_confirmations(bool applied);
    void note_current(core::common::time_point until);
    [[nodiscard]] core::common::milliseconds answer_timeout() const;
    /// Notes the store's era and whether it answered. Returns false if the reply must not be used, because it
    /// was the first of a new era and everything is listed again.
    bool record_reply(platform::store_reply& reply, const char* call);

    gateway_context& context_;
    platform::store_client& store_;
    std::string kind_;
    watch_timing timing_;
    callbacks callbacks_;
    core::common::store_position position_; // to watch from; revision 0: list first
    int unnamed_in_list_ = 0;               // entries of the latest list that had no readable name
    std::int64_t listed_era_ = -1;          // of the latest list; -1: none yet
    bool answering_ = true;
    core::common::time_point answered_at_{}; // last answer of the store; start time before the first
    platform::store_call call_;              // the current one
    int failures_ = 0;                       // consecutive
    core::common::time_point sent_at_{};     // the current call
    core::common::milliseconds wait_{0};     // of the current watch
    bool relaxed_ = false;                   // the current watch or delay relies on other gateways' messages
    std::optional<core::common::time_point> current_until_; // changes until then are applied
    std::vector<confirmation> confirmations_;               // that the current call serves
    std::vector<confirmation> next_confirmations_;          // that came after it was sent
    std::uint64_t generation_ = 0; // of calls and delays; results of an older generation are ignored
};

} // namespace waxwinglb::programs::gateway
