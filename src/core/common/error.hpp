/// Error data carried by Boost.LEAF results: where it arose and with which peer.
#pragma once

#include <string>

namespace waxwinglb::core::common {

/// One failure. `step` names the operation, `peer` the other end (empty if none), `detail` a sentence.
struct error {
    std::string step;   // e.g. "connect", "decode frame", "store.put"
    std::string peer;   // address or process name; empty for local failures
    std::string detail; // what went wrong, without secrets
};

/// One line for logs: "step (peer): detail".
[[nodiscard]] inline std::string describe(const error& e) {
    return e.peer.empty() ? e.step + ": " + e.detail : e.step + " (" + e.peer + "): " + e.detail;
}

} // namespace waxwinglb::core::common
