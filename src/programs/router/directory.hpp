/// Links to stewards: which one feeds the configuration and which one holds a control shard.
#pragma once

#include "core/common/time.hpp"
#include "edge/link.hpp"
#include "edge/log.hpp"
#include "programs/router/settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace waxwinglb::programs::router {

class steward_directory {
public:
    steward_directory(edge::link_hub& links, const router_settings& settings);

    void add(const std::string& address) { link_to(address); } // another steward, named by one
    void avoid_as_feed(edge::link_id link) { stewards_[link].full = true; }
    void start(); // connects to every steward of the settings

    [[nodiscard]] bool owns(edge::link_id link) const { return stewards_.contains(link); }
    void opened(const edge::link_event& event);
    void closed(edge::link_id link);

    /// Link to the holder of a shard if it is known and open; otherwise asks for it and answers nothing.
    std::optional<edge::link_id> holder(int shard, core::common::time_point now);
    void located(const wire::locate_result& found, core::common::time_point now);
    void moved(const wire::not_holder& told, core::common::time_point now);

    /// The steward to take the configuration from: open, of the own data centre if there is one.
    [[nodiscard]] std::optional<edge::link_id> feed(std::optional<edge::link_id> except = {}) const;

private:
    struct steward {
        std::string address;
        std::string data_centre;
        bool open = false;
        bool full = false; // feeds enough others
    };
    struct shard_holder {
        edge::link_id link = 0; // 0: not known
        std::int64_t fencing = 0;
        core::common::time_point valid_until{};
        core::common::time_point asked{};
    };
    edge::link_id link_to(const std::string& address);
    void ask(int shard, core::common::time_point now);
    void note(int shard, const std::string& address, std::int64_t fencing, core::common::time_point until);

    edge::link_hub& links_;
    const router_settings& settings_;
    std::map<edge::link_id, steward> stewards_;
    std::map<std::string, edge::link_id> by_address_;
    std::map<int, shard_holder> holders_;
    std::uint64_t next_asked_ = 0; // spreads questions over the stewards
    edge::logger log_ = edge::make_logger("router.stewards");
};

} // namespace waxwinglb::programs::router
