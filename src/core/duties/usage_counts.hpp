/// Counts of requests that began to run, by window of true time and customer: those that this gateway counted
/// itself, and the totals of all gateways as they stated them.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace waxwinglb::core::duties {

using customer_counts = std::map<std::string, std::int64_t>;   // requests by customer; no zeros
using window_counts = std::map<std::int64_t, customer_counts>; // by window

/// For so long after its end a window's totals are reported and kept, and its report is still sent.
constexpr common::milliseconds usage_retention{20'000};

/// Windows of true time. Window k begins k times `length` after the start of 1970.
struct usage_windows {
    common::milliseconds length{5'000};

    [[nodiscard]] std::int64_t at(common::milliseconds true_ms) const;
    [[nodiscard]] common::milliseconds end_of(std::int64_t window) const { return (window + 1) * length; }
    /// Whether totals of the window are still of use. False also for windows that lie in the future.
    [[nodiscard]] bool kept(std::int64_t window, common::milliseconds true_ms) const;
};

/// This gateway's own counts.
class usage_counter {
public:
    explicit usage_counter(usage_windows windows) : windows_(windows) {}

    /// Counts a request that began to run at `began`. Not counted: without a customer, in a window that is
    /// not kept any more, or of one more customer than are kept in memory.
    void add(const std::string& customer, common::milliseconds began, common::milliseconds true_now);
    /// Totals of the windows that are kept. The current one is among them even if nothing was counted in it:
    /// the receiver concludes from it that the windows before it are over.
    const window_counts& totals(common::milliseconds true_now);
    [[nodiscard]] std::int64_t left_out() const { return left_out_; } // requests that were not counted

private:
    usage_windows windows_;
    window_counts counts_;
    std::int64_t left_out_ = 0;
};

/// Totals of all gateways by gateway and boot number: those of a restarted gateway add to those of its
/// process before. Totals replace earlier ones, so lost and repeated messages do no harm.
class usage_totals {
public:
    explicit usage_totals(usage_windows windows) : windows_(windows) {}

    /// Takes the totals that a gateway stated. Returns the number of entries that can't be used.
    int note(const std::string& gateway, std::int64_t boot, const window_counts& reported,
             common::milliseconds true_now);
    void forget_old(common::milliseconds true_now);
    [[nodiscard]] customer_counts sum(std::int64_t window) const;
    /// Whether the gateway reported totals that it made, and that arrived, `settle` after the window's end.
    [[nodiscard]] bool has_final(const std::string& gateway, std::int64_t window,
                                 common::milliseconds settle) const;
    [[nodiscard]] std::set<std::string> gateways(std::int64_t window) const; // whose totals are in the sum

private:
    struct source {
        std::map<std::int64_t, window_counts> by_boot;
        std::int64_t newest_window = 0;      // that it reported
        common::milliseconds reported_at{0}; // when it last did
    };
    usage_windows windows_;
    std::map<std::string, source> sources_; // by gateway
};

} // namespace waxwinglb::core::duties
