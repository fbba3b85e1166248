/// Faults that a test injects into the stand-in.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::standins::platform {

enum class fault_kind {
    down,         // the connection is cut before the call takes effect
    slow,         // the call is handled after `delay`
    lose_answer,  // a write takes effect, then the connection is cut
    weights_slow, // a weight read ends `delay` later
    reject,       // responds 503; the call takes no effect
};

struct fault_rule {
    fault_kind kind = fault_kind::down;
    std::string match;                   // key prefix; if it starts with '/', path prefix
    std::int64_t count = -1;             // calls that it still applies to; -1: until cleared
    core::common::milliseconds delay{0}; // used by slow and weights_slow
    bool then_down = false;              // the affected call starts an outage of all that `match` covers
};

[[nodiscard]] std::optional<fault_kind> fault_kind_of(std::string_view name);
[[nodiscard]] const char* name_of(fault_kind kind);

class fault_table {
public:
    void add(fault_rule rule) { rules_.push_back(std::move(rule)); }
    void clear() { rules_.clear(); }

    /// Returns the first rule of `kind` that matches `path`, and uses up one of its calls.
    std::optional<fault_rule> take(fault_kind kind, const std::string& path);

private:
    std::vector<fault_rule> rules_;
};

/// Whether a rule's `match` covers calls to `path`.
[[nodiscard]] bool covers(const std::string& match, const std::string& path);

} // namespace waxwinglb::standins::platform
