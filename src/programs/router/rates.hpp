/// Customers' wallets at this router: draws grants from the holders of their buckets.
#pragma once

#include "core/limits/grant_cache.hpp"
#include "edge/program.hpp"
#include "programs/router/directory.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::programs::router {

using call_id = std::int64_t; // of one request, unique within this router process

class customer_rates {
public:
    customer_rates(edge::link_hub& links, steward_directory& stewards, const router_settings& settings,
                   edge::program_context& context);

    core::limits::reserve_result reserve(const std::string& customer, std::int64_t tokens,
                                         core::common::time_point now);
    void settle(const std::string& customer, core::limits::reservation_id reservation, std::int64_t used,
                core::common::time_point now);

    /// A waiting request is told through take_ready() when its wallet changed.
    void wait(const std::string& customer, call_id call) { entries_[customer].waiting.insert(call); }
    void stop_waiting(const std::string& customer, call_id call);
    [[nodiscard]] std::vector<call_id> take_ready();

    void drawn(std::int64_t draw, const wire::draw_result& result, core::common::time_point now);
    void moved(const wire::not_holder& told, core::common::time_point now); // draws to this shard failed
    void link_closed(edge::link_id link, core::common::time_point now);
    void tick(core::common::time_point now); // sends due draws, gives up late ones

private:
    struct entry {
        core::limits::grant_cache grant_cache;
        std::set<call_id> waiting;
        core::limits::draw_id draw = 0; // in flight; 0: none
        edge::link_id link = 0;         // that it went over
        int shard = 0;
        core::common::time_point sent{};
    };
    void pump(const std::string& customer, entry& one, core::common::time_point now);
    void fail(entry& one, core::common::time_point now);
    void wake(entry& one);

    edge::link_hub& links_;
    steward_directory& stewards_;
    const router_settings& settings_;
    edge::program_context& context_;
    std::map<std::string, entry> entries_; // by customer
    std::vector<call_id> ready_;
};

} // namespace waxwinglb::programs::router
