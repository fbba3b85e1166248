/// Gathers from the stewards' pages which processes have applied which revision.
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

    /// Asks every steward; answers once all have, or their time is over.
    void ask(const edge::exchange_ptr& exchange, std::int64_t revision);
    void take(const steward_page_event& page);

private:
    struct applied {
        std::int64_t revision = 0;
        std::int64_t since_ms = 0; // since its last report
        std::string steward;       // that said so
    };
    struct question {
        edge::exchange_ptr exchange;
        std::int64_t revision = 0; // asked for
        std::size_t open = 0;      // pages still to come
        std::map<std::string, applied> processes;
        std::vector<std::string> silent; // stewards without an answer
    };
    static void add_page(question& one, const steward_page_event& page);
    static void answer(const question& one);

    const std::vector<std::string>& stewards_;
    edge::http_client& client_;
    event_ring& events_;
    std::map<std::uint64_t, question> questions_;
    std::uint64_t last_question_ = 0;
};

} // namespace waxwinglb::programs::admin
