/// The versions that shape what a target writes. What targets of different versions write in one stream
/// doesn't fit together.
#pragma once

#include "core/fleet/model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace waxwinglb::core::fleet {

struct serving_version {
    std::string software;
    std::optional<std::int64_t> weights; // of the model; nullopt: not stated
    std::string adapter;                 // of the requested adapter; empty: none, or not stated
    bool operator==(const serving_version&) const = default;
    bool operator<(const serving_version& other) const {
        return std::tie(software, weights, adapter) < std::tie(other.software, other.weights, other.adapter);
    }
};

/// What the target has stated that it serves requests of this model with.
[[nodiscard]] serving_version version_at(const target_entry& target, const model_ref& ref);

/// Whether a stream that began at `begun` may go on at `other`: all that both state is equal.
[[nodiscard]] bool may_continue(const serving_version& begun, const serving_version& other);

/// `version`, with what it leaves out taken from `earlier`.
[[nodiscard]] serving_version completed(serving_version version, const serving_version& earlier);

} // namespace waxwinglb::core::fleet
