/// The router's copy of the configuration, received from one steward at a time.
#pragma once

#include "core/config/replica.hpp"
#include "edge/program.hpp"
#include "programs/router/directory.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waxwinglb::programs::router {

class config_feed {
public:
    config_feed(edge::link_hub& links, steward_directory& stewards, edge::program_context& context);

    /// Subscribes if there is no feed yet, its link is closed, or it is silent; else renews the subscription.
    void tick(core::common::time_point now);
    void handle_link_closed(edge::link_id link);

    bool handle_update(edge::link_id from, const wire::config_update& update); // true: a revision was applied
    void handle_fresh(edge::link_id from, std::int64_t request, const wire::config_fresh& message,
                      core::common::time_point now);
    /// The steward has no room; the message may name others.
    void handle_feed_elsewhere(edge::link_id from, const wire::feed_elsewhere& message);

    [[nodiscard]] const core::config::snapshot& state() const { return copy_.state(); }
    [[nodiscard]] bool fresh(core::common::time_point now) const { return copy_.fresh(now); }
    [[nodiscard]] const std::set<std::string>& data_centres_out() const { return data_centres_out_; }

private:
    void subscribe(core::common::time_point now);
    void send_subscription(core::common::time_point now);
    void drop_source(); // the next tick subscribes to another
    void report_applied();

    edge::link_hub& links_;
    steward_directory& stewards_;
    edge::program_context& context_;
    core::config::replica copy_;
    std::optional<edge::link_id> source_;     // steward subscribed to
    core::common::time_point last_message_{}; // last message of the source, or the subscription
    core::common::time_point last_sent_{};    // newest request
    std::map<std::int64_t, core::common::time_point> sent_requests_; // by call number: time of sending
    std::int64_t last_request_ = 0;
    std::vector<core::config::change> parts_; // received parts of a snapshot
    int next_part_ = 0;
    std::set<std::string> data_centres_out_; // taken out of service
    edge::logger log_ = edge::make_logger("router.config");
};

} // namespace waxwinglb::programs::router
