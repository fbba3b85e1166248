/// Events that the event-loop thread of waxwing-admin reads from its ring.
#pragma once

#include "core/common/time.hpp"
#include "edge/http_client.hpp"
#include "edge/link.hpp"
#include "edge/platform_client.hpp"
#include "edge/ring.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace waxwinglb::programs::admin {

enum class store_call {
    watch_head,  // the repeated watch of config/head
    read_head,   // before a batch is judged, or to resolve an unknown outcome
    read_part,   // of a snapshot
    write_part,  // of a new snapshot, or the sealed audit trail
    write_head,  // a batch
    remove_part, // of an obsolete snapshot
    list_acks,   // acceptors' acknowledgements
    read_ack,
    write_ack,
    read_audit,
    list_vms,
};

struct store_event {
    store_call call = store_call::watch_head;
    std::uint64_t number = 0; // of the call; answers to abandoned calls are ignored
    edge::store_answer answer;
};

/// Result of GET /in-force at one steward.
struct steward_page_event {
    std::uint64_t query = 0;
    std::string steward;
    edge::client_result result;
};

using event = std::variant<edge::exchange_ptr, store_event, steward_page_event, edge::link_event>;
using event_ring = edge::ring<event>;

} // namespace waxwinglb::programs::admin
