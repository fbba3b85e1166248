/// Reads the configuration from the store, or from another steward while the store is unreachable, and
/// distributes it to subscribers.
#pragma once

#include "programs/steward/context.hpp"
#include "programs/steward/events.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds head_watch_timeout{500}; // longest wait of one watch on config/head
constexpr core::common::milliseconds head_retry_delay{100};   // after a failed watch
constexpr core::common::milliseconds fresh_interval{500};     // between config_fresh messages to a subscriber
constexpr core::common::milliseconds peer_feed_delay{1'000};  // silence of the store before peers are asked
constexpr core::common::milliseconds peer_feed_interval{250}; // between requests to other stewards

class feed_service {
public:
    explicit feed_service(steward_context& context) : context_(context) {}

    void tick(core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);

    // Messages and changes of links.
    void on_subscribe(const edge::link_event& event, const wire::subscribe_config& request,
                      core::common::time_point now);
    void on_config_update(edge::link_id link, const wire::config_update& update,
                          core::common::time_point now);
    void on_config_fresh(edge::link_id link, std::int64_t call, const wire::config_fresh& message);
    void on_acceptor_status(const wire::hello& peer, const wire::acceptor_status& status,
                            core::common::time_point now);
    void on_apply_report(const wire::apply_report& report, core::common::time_point now);
    void on_link_opened(edge::link_id link, const wire::hello& peer);
    void on_link_closed(edge::link_id link);

    /// Body for GET /in-force: {"revision", "fresh", "processes":[{"process","revision","since_ms"}]}.
    [[nodiscard]] std::string in_force(core::common::time_point now) const;
    /// True if the configuration changed since the last call.
    bool take_changed() { return std::exchange(changed_, false); }
    [[nodiscard]] bool store_reachable(core::common::time_point now) const {
        return now - store_answered_at_ < core::feed::store_trust;
    }

private:
    struct subscriber {
        std::int64_t revision = 0;
        std::int64_t call = 0; // call number of its last subscription, repeated in answers
        core::common::time_point served_at{};
    };
    struct in_force_entry {
        std::int64_t revision = 0;
        core::common::time_point since{};
    };
    struct snapshot_fetch {
        std::int64_t base = 0;
        std::vector<std::optional<std::vector<core::config::change>>> parts;
        core::feed::config_head head;
        core::common::time_point head_asked_at{};
    };
    void watch_head(core::common::time_point now);
    void take_head(const store_event& event, core::common::time_point now);
    void take_part(const store_event& event, core::common::time_point now);
    void fetch_snapshot(core::feed::config_head head, core::common::time_point asked_at);
    void poll_peers(core::common::time_point now);
    void on_config_changed(const std::string& source);
    void serve(edge::link_id link, subscriber& entry, core::common::time_point now);
    [[nodiscard]] std::vector<std::string> other_stewards() const;

    steward_context& context_;
    edge::logger log_ = edge::make_logger("steward.feed");
    bool watching_ = false;
    core::common::time_point next_watch_{};
    core::common::store_position head_version_; // newest read
    std::int64_t head_revision_ = 0;            // of the head at head_version_
    core::common::time_point store_answered_at_{};
    std::optional<snapshot_fetch> fetch_;
    bool changed_ = false;
    std::map<edge::link_id, subscriber> subscribers_;
    std::map<std::string, in_force_entry> applied_; // by process
    std::map<edge::link_id, std::string> stewards_; // process names of other stewards by open link
    std::map<edge::link_id, std::map<std::int64_t, core::common::time_point>>
        open_requests_;                                                  // times of sending, by link and call
    std::map<edge::link_id, std::vector<wire::config_update>> incoming_; // parts of updates
    core::common::time_point next_poll_{};
};

} // namespace waxwinglb::programs::steward
