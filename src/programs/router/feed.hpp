/// The router's copy of the configuration, fed by one steward at a time.
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

    /// Subscribes where that is needed: no feed yet, its link closed, or it went quiet.
    void tick(core::common::time_point now);
    void link_closed(edge::link_id link);

    bool updated(edge::link_id from, const wire::config_update& update); // true: a revision was applied
    void vouched(edge::link_id from, std::int64_t question, const wire::config_fresh& told,
                 core::common::time_point now);
    void refused(edge::link_id from, const wire::feed_elsewhere& told); // that steward feeds enough others

    [[nodiscard]] const core::config::snapshot& state() const { return copy_.state(); }
    [[nodiscard]] bool fresh(core::common::time_point now) const { return copy_.fresh(now); }
    [[nodiscard]] const std::set<std::string>& data_centres_out() const { return out_; }

private:
    void subscribe(core::common::time_point now);
    void ask(core::common::time_point now);
    void resubscribe(); // at the next tick
    void after_apply();

    edge::link_hub& links_;
    steward_directory& stewards_;
    edge::program_context& context_;
    core::config::replica copy_;
    std::optional<edge::link_id> source_; // steward subscribed to
    core::common::time_point heard_{};    // last word of the source, or the subscription
    core::common::time_point asked_{};    // the newest question
    std::map<std::int64_t, core::common::time_point> questions_; // by call number: when it was sent
    std::int64_t last_question_ = 0;
    std::vector<core::config::change> parts_; // of a snapshot that comes in parts
    int next_part_ = 0;
    std::set<std::string> out_; // data centres taken out
    edge::logger log_ = edge::make_logger("router.config");
};

} // namespace waxwinglb::programs::router
