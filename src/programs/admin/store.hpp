/// Calls to the platform's store whose answers come back as events with the call's number.
#pragma once

#include "programs/admin/events.hpp"

#include <cstdint>
#include <string>

namespace waxwinglb::programs::admin {

constexpr core::common::milliseconds store_timeout{1'000}; // one call; then the store counts as out of reach

class store {
public:
    store(edge::http_client& client, const std::string& platform, event_ring& events)
        : client_(client, platform, store_timeout), events_(events) {}

    // Each returns the number that its answer will carry.
    std::uint64_t read(store_call call, const std::string& key) {
        return ask(call, [&](auto&& done) { client_.read(key, done); });
    }
    std::uint64_t watch(store_call call, const std::string& key, std::int64_t version,
                        core::common::milliseconds wait) {
        return ask(call, [&](auto&& done) { client_.watch(key, version, wait, done); });
    }
    std::uint64_t put(store_call call, const std::string& key, std::int64_t if_version, std::string body) {
        return ask(call, [&](auto&& done) { client_.put(key, if_version, std::move(body), done); });
    }
    std::uint64_t remove(store_call call, const std::string& key, std::int64_t if_version) {
        return ask(call, [&](auto&& done) { client_.remove(key, if_version, done); });
    }
    std::uint64_t list(store_call call, const std::string& prefix) {
        return ask(call, [&](auto&& done) { client_.list(prefix, done); });
    }
    std::uint64_t vms(store_call call) {
        return ask(call, [&](auto&& done) { client_.vms(done); });
    }

private:
    template<class sender>
    std::uint64_t ask(store_call call, sender&& send) {
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
