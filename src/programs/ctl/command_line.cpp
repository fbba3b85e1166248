#include "programs/ctl/command_line.hpp"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace waxwinglb::programs::ctl {
namespace {

constexpr int admin_option = 1'000;
constexpr int token_file_option = 1'001;
constexpr int pages_option = 1'002;
constexpr int wait_option = 1'003;
constexpr int dry_run_option = 1'004;
constexpr int timeout_option = 1'005;
constexpr std::int64_t max_timeout_s = 3'600;

void print_help() {
    std::cout << R"(waxwingctl - manages a deployment through its administration API

Usage: waxwingctl COMMAND [options]

  apply -f FILE                  creates and changes the entries in FILE; other entries stay as they are
  diff -f FILE                   shows what apply would change
  show -f FILE                   prints FILE as JSON
  get KIND [NAME]                services, models, customers, keys, presets, data-centres, acceptors,
                                 preset-in-force, audit; NAME of a model is SERVICE/MODEL
  preset use NAME                puts a preset in force
  key grant CUSTOMER             creates a key and prints it; it can't be shown again
  key withdraw ID                deletes a key
  data-centre take-out NAME      stops new work in the data centre within a few seconds
  data-centre bring-back NAME    allows new work in the data centre again
  status                         revision, preset, data centres, and how far the revision is in force
  explain REQUEST                shows the events of a request from all time lines
  completion                     prints a completion script for bash

Options:
  -f, --file FILE                YAML file
  -o, --output table|json|yaml   output format; default: table
      --wait                     waits until the change is in force in every process
      --timeout SECONDS          of --wait; default: 30
      --dry-run                  checks the change without writing it
      --admin IP:PORT            administration process; default: $WAXWING_ADMIN
      --token-file FILE          file with the operator's token; default: the token in $WAXWING_TOKEN
      --pages IP:PORT,...        operations pages of all processes, for explain; default: $WAXWING_PAGES
  -h, --help
  -V, --version

Exit codes: 0 done; 1 refused or unreachable, nothing changed; 2 wrong command line; 3 FILE has faults;
4 diff found differences; 5 unknown whether accepted, read again; 6 accepted, but not in force in time.
)";
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> out;
    std::istringstream in{text};
    for (std::string part; std::getline(in, part, ',');)
        if (!part.empty())
            out.push_back(part);
    return out;
}

std::string from_environment(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

parsed_command_line usage_fault(const std::string& message) {
    std::cerr << "waxwingctl: " << message << "; see --help\n";
    return {{}, exit_usage};
}

std::optional<std::string> first_line_of(const std::string& file) {
    std::ifstream in{file};
    std::string out;
    return std::getline(in, out) ? std::optional{out} : std::nullopt;
}

} // namespace

parsed_command_line parse_command_line(int argc, char** argv, const std::string& version) {
    const std::array<option, 11> options{{{"file", required_argument, nullptr, 'f'},
                                          {"output", required_argument, nullptr, 'o'},
                                          {"admin", required_argument, nullptr, admin_option},
                                          {"token-file", required_argument, nullptr, token_file_option},
                                          {"pages", required_argument, nullptr, pages_option},
                                          {"wait", no_argument, nullptr, wait_option},
                                          {"dry-run", no_argument, nullptr, dry_run_option},
                                          {"timeout", required_argument, nullptr, timeout_option},
                                          {"help", no_argument, nullptr, 'h'},
                                          {"version", no_argument, nullptr, 'V'},
                                          {nullptr, 0, nullptr, 0}}};
    command_line out;
    out.admin = from_environment("WAXWING_ADMIN");
    out.token = from_environment("WAXWING_TOKEN");
    out.pages = split(from_environment("WAXWING_PAGES"));
    for (;;) {
        const int next = getopt_long(argc, argv, "f:o:hV", options.data(), nullptr);
        if (next == -1)
            break;
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (next) {
        case 'f':
            out.file = value;
            break;
        case 'o':
            if (value != "table" && value != "json" && value != "yaml")
                return usage_fault("--output expects table, json or yaml");
            out.output = value == "json"   ? output_form::json
                         : value == "yaml" ? output_form::yaml
                                           : output_form::table;
            break;
        case admin_option:
            out.admin = value;
            break;
        case token_file_option: {
            const auto token = first_line_of(value);
            if (!token)
                return usage_fault("can't read a token from " + value);
            out.token = *token;
            break;
        }
        case pages_option:
            out.pages = split(value);
            break;
        case wait_option:
            out.wait = true;
            break;
        case dry_run_option:
            out.dry_run = true;
            break;
        case timeout_option: {
            const std::int64_t seconds = std::strtoll(value.c_str(), nullptr, 10);
            if (seconds < 1 || seconds > max_timeout_s)
                return usage_fault("--timeout expects 1 to 3600 seconds");
            out.timeout = std::chrono::seconds{seconds};
            break;
        }
        case 'h':
            print_help();
            return {{}, exit_ok};
        case 'V':
            std::cout << "waxwingctl " << version << "\n";
            return {{}, exit_ok};
        default:
            return {{}, exit_usage};
        }
    }
    for (int i = optind; i < argc; ++i)
        out.arguments.emplace_back(argv[i]);
    if (out.arguments.empty())
        return usage_fault("a command is missing");
    return {std::move(out), std::nullopt};
}

std::string completion_script() {
    return R"(# bash completion of waxwingctl: source <(waxwingctl completion)
_waxwingctl() {
    local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]} choices
    case $before in
        waxwingctl) choices="apply diff show get preset key data-centre status explain completion" ;;
        get) choices="services models customers keys presets data-centres acceptors preset-in-force audit" ;;
        preset) choices="use" ;;
        key) choices="grant withdraw" ;;
        data-centre) choices="take-out bring-back" ;;
        -o|--output) choices="table json yaml" ;;
        -f|--file|--token-file) COMPREPLY=($(compgen -f -- "$word")); return ;;
        *) choices="--file --output --wait --timeout --dry-run --admin --token-file --pages --help --version" ;;
    esac
    COMPREPLY=($(compgen -W "$choices" -- "$word"))
}
complete -F _waxwingctl waxwingctl
)";
}

} // namespace waxwinglb::programs::ctl
