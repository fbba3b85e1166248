/// Collects from the stewards' pages which processes have applied which revision.
#pragma once

#include "edge/http_client.hpp"
#include "programs/admin/events.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

constexpr core::common::milliseconds steward_page_timeout{1'000};

class in_force_pages {
public:
    in_force_pages(const std::vector<std::string>& stewards, edge::http_client& client, event_ring& events)
        : stewards_(stewards), client_(client), events_(events) {}

    /// Requests the page of every steward; answers once all pages have arrived or timed out.
    void query_stewards(const edge::exchange_ptr& exchange, std::int64_t revision);
    void handle(const steward_page_event& page);

private:
    struct applied_report {
        std::int64_t revision = 0;
        std::int64_t since_ms = 0; // since the last report of the process
        std::string steward;       // that received the report
    };
    struct query {
        edge::exchange_ptr exchange;
        std::int64_t revision = 0;     // asked for
        std::size_t pending_pages = 0; // pages not yet received
        std::map<std::string, applied_report> processes;
        std::vector<std::string> silent; // stewards that did not answer
    };
    static void add_page(query& current, const steward_page_event& page);
    static void answer(const query& current);

    const std::vector<std::string>& stewards_;
    edge::http_client& client_;
    event_ring& events_;
    std::map<std::uint64_t, query> queries_;
    std::uint64_t last_query_ = 0;
};

} // namespace waxwinglb::programs::admin
