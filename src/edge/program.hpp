/// Common parts of every program: command line, settings, signals, health and metrics pages.
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

/// State shared by all parts of one process.
struct program_context {
    std::string name;                  // process name from the settings
    std::string config;                // path of the settings file
    std::atomic<int> reloads{0};       // SIGHUPs so far; each asks to read the settings file again
    std::atomic<bool> stopping{false}; // set by SIGTERM or SIGINT: the program drains and ends
    std::atomic<bool> ready{false};    // answer of /readyz
    std::shared_ptr<prometheus::Registry> metrics = std::make_shared<prometheus::Registry>();
    timeline_ring timeline{timeline_capacity}; // served at /timeline
};

/// Names a program in its texts. Every program takes --help, --version, --config FILE and --check.
struct program_description {
    std::string name;    // "waxwing-router"
    std::string version; // WAXWING_VERSION
    std::string purpose; // one sentence for --help
};

/// Exit codes of every program.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;   // could not start, or lost something it depends on
constexpr int exit_usage = 2;    // wrong command line
constexpr int exit_settings = 3; // invalid settings; all faults are printed

/// Parses the command line, loads settings through `read`, installs signal handling, then calls `run`.
int run_program(int argc, char** argv, const program_description& description,
                const std::function<void(settings_section&)>& read,
                const std::function<int(program_context&)>& run);

/// Answers /healthz, /readyz, /metrics and /timeline; returns false for any other path.
bool answer_operations(const exchange_ptr& exchange, program_context& context);

/// Starts a server with only these pages, for programs without an HTTP server of their own; nullptr if it
/// can't start.
std::unique_ptr<http_server> make_operations_server(const std::string& address, program_context& context);

} // namespace waxwinglb::edge
