/// Calls to the platform. Their answers arrive as events in the ring.
#pragma once

#include "edge/platform_client.hpp"
#include "programs/steward/events.hpp"

#include <utility>

namespace waxwinglb::programs::steward {

class store {
public:
    store(edge::platform_client& platform, event_ring& events) : platform_(platform), events_(events) {}

    void read(store_event tag, const std::string& key) { platform_.read(key, answer_to(std::move(tag))); }
    void watch(store_event tag, const std::string& key, core::common::store_position version,
               core::common::milliseconds wait) {
        platform_.watch(key, version, wait, answer_to(std::move(tag)));
    }
    void list(store_event tag, const std::string& prefix) {
        platform_.list(prefix, answer_to(std::move(tag)));
    }
    void put(store_event tag, const std::string& key, core::common::store_position if_version,
             std::string body) {
        platform_.put(key, if_version, std::move(body), answer_to(std::move(tag)));
    }
    void remove(store_event tag, const std::string& key, core::common::store_position if_version) {
        platform_.remove(key, if_version, answer_to(std::move(tag)));
    }
    void vms(store_event tag) { platform_.vms(answer_to(std::move(tag))); }

private:
    edge::platform_client::on_answer answer_to(store_event tag) {
        // Captures the ring, not `this`: the ring outlives the client's thread, this object may not.
        return [&events = events_, tag = std::move(tag)](edge::store_answer&& answer) mutable {
            tag.answer = std::move(answer);
            events.push(std::move(tag)); // fails only after the ring is closed at the end of the process
        };
    }

    edge::platform_client& platform_;
    event_ring& events_;
};

} // namespace waxwinglb::programs::steward
