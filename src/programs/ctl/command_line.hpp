/// Command line of waxwingctl.
#pragma once

#include "core/common/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::ctl {

// Exit codes, also in --help and docs/OPERATIONS.md.
constexpr int exit_ok = 0;
constexpr int exit_refused = 1;      // refused, or the administration process is unreachable: nothing changed
constexpr int exit_usage = 2;        // wrong command line
constexpr int exit_file = 3;         // the file given with -f has faults
constexpr int exit_differs = 4;      // diff found differences
constexpr int exit_unknown = 5;      // unknown whether the change was accepted: read the entry again
constexpr int exit_not_in_force = 6; // accepted, but not in force everywhere within --timeout

enum class output_form { table, json, yaml };

struct command_line {
    std::vector<std::string> arguments; // command and its arguments
    std::string admin;                  // "ip:port"; default: WAXWING_ADMIN
    std::string token;                  // from --token-file or WAXWING_TOKEN
    std::string file;                   // -f
    std::vector<std::string> pages;     // operations pages, for explain; default: WAXWING_PAGES
    output_form output = output_form::table;
    bool wait = false; // until the change is in force
    bool dry_run = false;
    core::common::milliseconds timeout{30'000}; // of --wait
};

/// The parsed command line, or the exit code with which the program ends at once.
struct parsed_command_line {
    command_line line;
    std::optional<int> exit;
};
[[nodiscard]] parsed_command_line parse_command_line(int argc, char** argv, const std::string& version);

[[nodiscard]] std::string completion_script(); // for bash

} // namespace waxwinglb::programs::ctl
