/// Reads the configuration from the store, or from another steward while the store is out of reach, and feeds
/// subscribers.
#pragma once

#include "programs/steward/context.hpp"
#include "programs/steward/events.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds head_watch_wait{500};   // one watch on config/head
constexpr core::common::milliseconds head_retry_after{100};  // pause after a failed watch
constexpr core::common::milliseconds fresh_every{500};       // config_fresh to each subscriber
constexpr core::common::milliseconds peer_feed_after{1'000}; // without the store, ask another steward
constexpr core::common::milliseconds peer_feed_every{250};   // how often

class feed_service {
public:
    explicit feed_service(steward_context& context) : context_(context) {}

    void tick(core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);

    // From links.
    void subscribe(const edge::link_event& event, const wire::subscribe_config& request,
                   core::common::time_point now);
    void update(edge::link_id link, const wire::config_update& update, core::common::time_point now);
    void vouched(edge::link_id link, std::int64_t call, const wire::config_fresh& message);
    void acceptor(const wire::hello& peer, const wire::acceptor_status& status, core::common::time_point now);
    void applied(const wire::apply_report& report, core::common::time_point now);
    void link_opened(edge::link_id link, const wire::hello& peer);
    void link_closed(edge::link_id link);

    /// {"revision", "processes":[{"process","revision","since_ms"}]} for GET /in-force.
    [[nodiscard]] std::string in_force(core::common::time_point now) const;
    /// True once since the last call if the configuration changed.
    bool take_changed() { return std::exchange(changed_, false); }
    [[nodiscard]] bool store_heard(core::common::time_point now) const {
        return now - store_heard_at_ < core::feed::store_trust;
    }

private:
    struct subscriber {
        std::int64_t have = 0;
        std::int64_t call = 0; // of its last subscription; answers carry it
        core::common::time_point told_at{};
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
    void ask_peers(core::common::time_point now);
    void changed(const std::string& source);
    void serve(edge::link_id link, subscriber& one, core::common::time_point now);
    [[nodiscard]] std::vector<std::string> other_stewards() const;

    steward_context& context_;
    edge::logger log_ = edge::make_logger("steward.feed");
    bool watching_ = false;
    core::common::time_point next_watch_{};
    std::int64_t head_version_ = 0;
    std::int64_t head_revision_ = 0; // of the head at head_version_
    core::common::time_point store_heard_at_{};
    std::optional<snapshot_fetch> fetch_;
    bool changed_ = false;
    std::map<edge::link_id, subscriber> subscribers_;
    std::map<std::string, in_force_entry> applied_; // by process
    std::map<edge::link_id, std::string> stewards_; // open links to other stewards, and their names
    std::map<edge::link_id, std::map<std::int64_t, core::common::time_point>> asked_; // calls to peers
    std::map<edge::link_id, std::vector<wire::config_update>> incoming_;              // parts of a snapshot
    core::common::time_point next_ask_{};
};

} // namespace waxwinglb::programs::steward
