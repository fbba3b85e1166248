/// Faults that a test asks the stand-in to show.
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
    slow,         // the call is taken up after `delay`
    lose_answer,  // a write takes effect, then the connection is cut
    weights_slow, // a weight read ends `delay` later
    reject,       // 503, nothing takes effect
};

struct fault_rule {
    fault_kind kind = fault_kind::down;
    std::string match;                   // prefix of an object's key; one that starts with '/': of the path
    std::int64_t count = -1;             // calls left to hit; -1: until cleared
    core::common::milliseconds delay{0}; // of slow and weights_slow
    bool then_down = false; // a call that was hit is followed by an outage of what `match` covers
};

[[nodiscard]] std::optional<fault_kind> fault_kind_of(std::string_view name);
[[nodiscard]] const char* name_of(fault_kind kind);

class fault_table {
public:
    void add(fault_rule rule) { rules_.push_back(std::move(rule)); }
    void clear() { rules_.clear(); }

    /// The first rule of `kind` that matches; uses up one of its calls.
    std::optional<fault_rule> take(fault_kind kind, const std::string& path);

private:
    std::vector<fault_rule> rules_;
};

/// Whether a rule's match covers the call to `path`.
[[nodiscard]] bool covers(const std::string& match, const std::string& path);

} // namespace waxwinglb::standins::platform
