/// Converts between YAML and JSON. Plain scalars that look like a number, true, false or null become that
/// value; quoted ones stay strings.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace waxwinglb::programs::ctl {

struct yaml_result {
    nlohmann::json value;
    std::string fault; // "line N: message"; empty if the text could be parsed
};

[[nodiscard]] yaml_result read_yaml(const std::string& text);
[[nodiscard]] std::string write_yaml(const nlohmann::json& value);

} // namespace waxwinglb::programs::ctl
