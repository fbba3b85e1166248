/// YAML as JSON: plain scalars become numbers, true, false or null where they look like it; quoted ones stay
/// strings.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace waxwinglb::programs::ctl {

struct yaml_result {
    nlohmann::json value;
    std::string fault; // "line N: why"; empty if the text could be read
};

[[nodiscard]] yaml_result read_yaml(const std::string& text);
[[nodiscard]] std::string write_yaml(const nlohmann::json& value);

} // namespace waxwinglb::programs::ctl
