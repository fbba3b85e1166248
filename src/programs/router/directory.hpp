/// Links to stewards: chooses the one that feeds the configuration and finds the holders of control shards.
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

    void add(const std::string& address) { link_to(address); } // a steward named by another
    void avoid_as_feed(edge::link_id link) { stewards_[link].full = true; }
    void start(); // connects to all stewards in the settings

    [[nodiscard]] bool owns(edge::link_id link) const { return stewards_.contains(link); }
    void handle_opened(const edge::link_event& event);
    void handle_closed(edge::link_id link);

    /// Link to the holder of a shard if it is known and open; else requests the holder and returns nothing.
    std::optional<edge::link_id> holder(int shard, core::common::time_point now);
    void handle_locate_result(const wire::locate_result& result, core::common::time_point now);
    void handle_not_holder(const wire::not_holder& message, core::common::time_point now);

    /// Open steward to get the configuration from, preferably in the own data centre.
    [[nodiscard]] std::optional<edge::link_id> choose_feed(std::optional<edge::link_id> except = {}) const;

private:
    struct steward {
        std::string address;
        std::string data_centre;
        bool open = false;
        bool full = false; // already feeds as many processes as it can
    };
    struct shard_holder {
        edge::link_id link = 0; // 0: unknown
        std::int64_t fencing = 0;
        core::common::time_point valid_until{};
        core::common::time_point requested_at{};
    };
    edge::link_id link_to(const std::string& address);
    void request_holder(int shard, core::common::time_point now);
    void record_holder(int shard, const std::string& address, std::int64_t fencing,
                       core::common::time_point until);

    edge::link_hub& links_;
    const router_settings& settings_;
    std::map<edge::link_id, steward> stewards_;
    std::map<std::string, edge::link_id> by_address_;
    std::map<int, shard_holder> holders_;
    std::uint64_t next_steward_ = 0; // round robin of requests over the stewards
    edge::logger log_ = edge::make_logger("router.stewards");
};

} // namespace waxwinglb::programs::router
