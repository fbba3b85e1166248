/// Answers of the administration API. Refusals are application/problem+json; their `accepted` is "no" or
/// "unknown".
#pragma once

#include "edge/http_server.hpp"
#include "programs/admin/acceptor.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

struct problem {
    int status = 400;
    std::string code;  // stable, for clients
    std::string title; // one sentence for the operator
    std::vector<core::config::fault> faults;
    std::string accepted = "no"; // or "unknown"
};

void respond_json(const edge::exchange_ptr& exchange, int status, const nlohmann::json& body,
                  std::vector<edge::http_field> headers = {});
void refuse(const edge::exchange_ptr& exchange, const problem& why,
            std::vector<edge::http_field> headers = {});

/// Converts a verdict to a problem; status 0 if the verdict is not a refusal.
[[nodiscard]] problem problem_of(const std::string& key, const core::acceptance::verdict& result);
/// Converts a submission's outcome to a problem; status 0 for accepted and judged submissions.
[[nodiscard]] problem problem_of(submit_outcome outcome);

[[nodiscard]] std::string entity_tag(std::int64_t revision);

} // namespace waxwinglb::programs::admin
