/// Rate limits of customers at this router: draws grants from the holders of their token buckets.
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

    /// take_ready() returns a waiting request after each change to its customer's grants.
    void wait(const std::string& customer, call_id call) { entries_[customer].waiting.insert(call); }
    void stop_waiting(const std::string& customer, call_id call);
    [[nodiscard]] std::vector<call_id> take_ready();

    void handle_draw_result(std::int64_t draw, const wire::draw_result& result, core::common::time_point now);
    /// Fails the draws sent to the message's shard.
    void handle_not_holder(const wire::not_holder& message, core::common::time_point now);
    void handle_link_closed(edge::link_id link, core::common::time_point now);
    void tick(core::common::time_point now); // sends due draws, fails late ones

private:
    struct customer_entry {
        core::limits::grant_cache grant_cache;
        std::set<call_id> waiting;
        core::limits::draw_id draw = 0; // in flight; 0: none
        edge::link_id link = 0;         // over which the draw was sent
        int shard = 0;
        core::common::time_point sent{};
    };
    void send_due_draw(const std::string& customer, customer_entry& entry, core::common::time_point now);
    void fail_draw(customer_entry& entry, core::common::time_point now);
    void notify_waiting(customer_entry& entry);

    edge::link_hub& links_;
    steward_directory& stewards_;
    const router_settings& settings_;
    edge::program_context& context_;
    std::map<std::string, customer_entry> entries_; // by customer
    std::vector<call_id> ready_;
};

} // namespace waxwinglb::programs::router
