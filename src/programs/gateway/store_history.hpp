/// Notices, from the answers to any of this gateway's calls, that the platform's store was restored from an
/// older copy, and has everything that was read from it read again.
#pragma once

#include "core/membership/store_eras.hpp"
#include "edge/decision_log.hpp"
#include "platform/store_client.hpp"
#include "programs/gateway/metrics.hpp"

#include <functional>

namespace waxwinglb::programs::gateway {

class store_history {
public:
    struct callbacks {
        std::function<void()> on_first_answer; // the store's era is known from here on
        std::function<void()> on_restored;     // what was read or written before is no longer valid
    };
    store_history(edge::decision_log& log, gateway_metrics& metrics) : log_(log), metrics_(metrics) {}
    void attach(callbacks handlers) { callbacks_ = std::move(handlers); }

    /// Takes note of a reply's era, before the reply is used. `call` names it in the log. A reply of an
    /// earlier era than the newest counts as no answer; its content is dropped.
    void note(platform::store_reply& reply, const char* call);
    [[nodiscard]] std::int64_t era() const { return eras_.newest(); }   // 0: the store states none
    [[nodiscard]] std::int64_t first_era() const { return first_era_; } // that this process heard of

private:
    edge::decision_log& log_;
    gateway_metrics& metrics_;
    callbacks callbacks_;
    core::membership::store_eras eras_;
    std::int64_t first_era_ = 0;
};

} // namespace waxwinglb::programs::gateway
