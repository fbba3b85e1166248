/// Calls to the platform's store. The answer to each call arrives as an event with the call's number.
#pragma once

#include "programs/admin/events.hpp"

#include <cstdint>
#include <string>

namespace waxwinglb::programs::admin {

constexpr core::common::milliseconds store_timeout{1'000}; // of a call; then the store is unreachable

class store {
public:
    store(edge::http_client& client, const std::string& platform, event_ring& events)
        : client_(client, platform, store_timeout), events_(events) {}

    // Each returns the call's number, which the answer will carry.
    std::uint64_t read(store_call call, const std::string& key) {
        return start_call(call, [&](auto&& done) { client_.read(key, done); });
    }
    std::uint64_t watch(store_call call, const std::string& key, core::common::store_position version,
                        core::common::milliseconds wait) {
        return start_call(call, [&](auto&& done) { client_.watch(key, version, wait, done); });
    }
    std::uint64_t put(store_call call, const std::string& key, core::common::store_position if_version,
                      std::string body) {
        return start_call(call, [&](auto&& done) { client_.put(key, if_version, std::move(body), done); });
    }
    std::uint64_t remove(store_call call, const std::string& key, core::common::store_position if_version) {
        return start_call(call, [&](auto&& done) { client_.remove(key, if_version, done); });
    }
    std::uint64_t list(store_call call, const std::string& prefix) {
        return start_call(call, [&](auto&& done) { client_.list(prefix, done); });
    }
    std::uint64_t vms(store_call call) {
        return start_call(call, [&](auto&& done) { client_.vms(done); });
    }

private:
    template<class sender>
    std::uint64_t start_call(store_call call, sender&& send) {
        const std::uint64_t number = ++last_number_;
        send([this, call, number](edge::store_answer&& answer) {
            events_.push(event{store_event{call, number, std::move(answer)}});
        });
        return number;
    }

    edge::platform_client client_;
    event_ring& events_;
    std::uint64_t last_number_ = 0;
};

} // namespace waxwinglb::programs::admin
