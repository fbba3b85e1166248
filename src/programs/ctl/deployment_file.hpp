/// Files in deploy/: `configuration` becomes entries of the administration API, `layout` is for the demo.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace waxwinglb::programs::ctl {

struct deployment_file {
    nlohmann::json whole;            // the file as JSON
    nlohmann::json changes;          // [{"key","value"}] in an order in which each finds what it needs
    std::vector<std::string> faults; // "FILE: path: expected form"; empty if it can be used
};

[[nodiscard]] deployment_file read_deployment(const std::string& path);

} // namespace waxwinglb::programs::ctl
