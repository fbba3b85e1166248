/// Events that the deciding thread reads from its ring.
#pragma once

#include "core/common/time.hpp"
#include "edge/http_server.hpp"
#include "edge/link.hpp"
#include "edge/platform_client.hpp"
#include "edge/ring.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace waxwinglb::programs::steward {

/// The call to the platform that an answer belongs to.
enum class store_call {
    lease_list,
    lease_read,
    lease_write,
    config_head,
    config_part,
    vm_list,
    claims_head_read,
    claims_head_write,
    claims_segment_read,
    claims_segment_write,
    claims_segment_remove,
};

struct store_event {
    store_call call = store_call::lease_list;
    int shard = 0;                       // of lease and claims calls
    std::int64_t number = 0;             // write sequence, snapshot base or epoch of a claims log
    std::string key;                     // of a claims segment to be removed
    core::common::time_point asked_at{}; // taken before the call is sent
    edge::store_answer answer;
};

/// An HTTP request that only the deciding thread can answer.
struct page_event {
    edge::exchange_ptr exchange;
};

using steward_event = std::variant<edge::link_event, store_event, page_event>;
using event_ring = edge::ring<steward_event>;

constexpr std::size_t ring_capacity = 65'536; // events

} // namespace waxwinglb::programs::steward
