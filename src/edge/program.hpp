/// What every program shares: command line, checked settings, signals, health and metrics pages.
#pragma once

#include "edge/http_server.hpp"
#include "edge/settings.hpp"
#include "edge/timeline.hpp"

#include <prometheus/registry.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace waxwinglb::edge {

/// State that the parts of one process share.
struct program_context {
    std::string name;                  // process name from the settings
    std::string config;                // path of the settings file
    std::atomic<int> reloads{0};       // SIGHUPs so far: the settings file has changed
    std::atomic<bool> stopping{false}; // set by SIGTERM or SIGINT; the program drains
    std::atomic<bool> ready{false};    // answer of /readyz
    std::shared_ptr<prometheus::Registry> metrics = std::make_shared<prometheus::Registry>();
    timeline_ring timeline{timeline_capacity}; // served at /timeline
};

/// Every program takes --help, --version, --config FILE and --check.
struct program_description {
    std::string name;    // "waxwing-router"
    std::string version; // WAXWING_VERSION
    std::string purpose; // one sentence for --help
};

/// Exit codes of every program.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;   // could not start or lost something it can't do without
constexpr int exit_usage = 2;    // wrong command line
constexpr int exit_settings = 3; // settings with faults, all printed

/// Parses the command line, loads settings through `read`, installs signal handling, then calls `run`.
int run_program(int argc, char** argv, const program_description& description,
                const std::function<void(settings_section&)>& read,
                const std::function<int(program_context&)>& run);

/// Answers /healthz, /readyz, /metrics and /timeline; false if the path is none of these.
bool answer_operations(const exchange_ptr& exchange, program_context& context);

/// A server with only the pages above, for programs without HTTP of their own.
std::unique_ptr<http_server> make_operations_server(const std::string& address, program_context& context);

} // namespace waxwinglb::edge
