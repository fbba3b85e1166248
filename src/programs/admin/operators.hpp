/// Operators' credentials: bearer tokens, kept and compared as digests.
#pragma once

#include "programs/admin/settings.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

/// The operator whose token an Authorization header carries; nullptr if it is absent or unknown.
[[nodiscard]] const core::acceptance::actor* find_operator(const std::vector<operator_account>& accounts,
                                                           const std::string& authorization);

/// Digest that stands for an operator's Idempotency-Key in the store; empty for an empty key.
[[nodiscard]] std::string creation_digest(const core::acceptance::actor& by,
                                          const std::string& idempotency_key);

struct fresh_key {
    std::string id;   // public part
    std::string text; // shown once, never kept
};
[[nodiscard]] fresh_key make_key();

} // namespace waxwinglb::programs::admin
