/// Answers of the administration API; refusals are application/problem+json and say whether the change was
/// accepted: "no" or "unknown".
#pragma once

#include "edge/http_server.hpp"
#include "programs/admin/acceptor.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

struct problem {
    int status = 400;
    std::string code;  // stable, for programs
    std::string title; // one sentence, for people
    std::vector<core::config::fault> faults;
    std::string accepted = "no"; // or "unknown"
};

void respond_json(const edge::exchange_ptr& exchange, int status, const nlohmann::json& body,
                  std::vector<edge::http_field> headers = {});
void refuse(const edge::exchange_ptr& exchange, const problem& why,
            std::vector<edge::http_field> headers = {});

/// The problem that a verdict amounts to; status 0 if it is none.
[[nodiscard]] problem problem_of(const std::string& key, const core::acceptance::verdict& result);
/// The problem of a submission that was not judged; status 0 if it is none.
[[nodiscard]] problem problem_of(submit_outcome outcome);

[[nodiscard]] std::string entity_tag(std::int64_t revision);

} // namespace waxwinglb::programs::admin
