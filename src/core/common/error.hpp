/// Error data carried by Boost.LEAF results: the failed operation and the peer.
#pragma once

#include <string>

namespace waxwinglb::core::common {

/// A failed operation.
struct error {
    std::string step;   // operation, e.g. "connect", "decode frame", "store.put"
    std::string peer;   // address or process name; empty for local failures
    std::string detail; // sentence that says what failed, without secrets
};

/// Log text "step (peer): detail".
[[nodiscard]] inline std::string describe(const error& e) {
    return e.peer.empty() ? e.step + ": " + e.detail : e.step + " (" + e.peer + "): " + e.detail;
}

} // namespace waxwinglb::core::common
