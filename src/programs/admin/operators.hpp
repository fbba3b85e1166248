/// Operators' credentials: bearer tokens, stored and compared as digests.
#pragma once

#include "programs/admin/settings.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

/// The operator whose token an Authorization header carries; nullptr if it is absent or unknown.
[[nodiscard]] const core::acceptance::actor* find_operator(const std::vector<operator_account>& accounts,
                                                           const std::string& authorization);

/// Digest under which an operator's Idempotency-Key is stored; empty for an empty key.
[[nodiscard]] std::string creation_digest(const core::acceptance::actor& by,
                                          const std::string& idempotency_key);

struct generated_key {
    std::string id;   // public part
    std::string text; // the whole key; shown once, never stored
};
[[nodiscard]] generated_key generate_key();

} // namespace waxwinglb::programs::admin
