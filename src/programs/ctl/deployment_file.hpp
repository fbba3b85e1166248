/// Files in deploy/: `configuration` is converted to entries of the administration API; `layout` is only read
/// by the demo.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwinglb::programs::ctl {

struct deployment_file {
    nlohmann::json document; // the file as JSON
    nlohmann::json changes;  // [{"key","value"}] in an order in which each follows those that it refers to
    std::vector<std::string> faults; // "FILE: path: expected form"; empty if the file is valid
};

[[nodiscard]] deployment_file read_deployment(const std::string& path);

} // namespace waxwinglb::programs::ctl
