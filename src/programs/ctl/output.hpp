/// Prints results as a table, JSON or YAML.
#pragma once

#include "programs/ctl/command_line.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwinglb::programs::ctl {

/// Prints `rows` with these columns as a table, or the whole `value` as JSON or YAML.
void print(output_form form, const nlohmann::json& value, const nlohmann::json& rows,
           const std::vector<std::string>& columns);

[[nodiscard]] std::string format_table(const nlohmann::json& rows, const std::vector<std::string>& columns);

} // namespace waxwinglb::programs::ctl
