#include "programs/timeline/command_line.hpp"

#include <getopt.h>

#include <array>
#include <iostream>

namespace waxwinglb::programs::timeline {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_usage = 2;

void print_help() {
    std::cout << R"(waxwing-timeline - merges the time lines of all processes

Usage: waxwing-timeline [options] [IP:PORT...]

  -s, --subject NAME           only events of this request, SERVICE/MODEL, customer, shard or revision
  -o, --output text|jsonl|html default: text
      --saved FILE             a saved /timeline page; may be given more than once
  -l, --log FILE               decision log of one or more gateways, lines in any order; "-": standard input.
                               With --subject REQUEST: its events, and in the last line why it ended
  -h, --help
  -V, --version

Gaps are marked: events dropped by a full ring, processes that do not answer, clocks that run ahead.
Exit codes: 0 done; 1 no process answered; 2 wrong command line.
)";
}

} // namespace

parsed_command_line parse_command_line(int argc, char** argv, const std::string& version) {
    constexpr int saved_option = 1'000;
    const std::array<option, 7> options{{{"log", required_argument, nullptr, 'l'},
                                         {"subject", required_argument, nullptr, 's'},
                                         {"output", required_argument, nullptr, 'o'},
                                         {"saved", required_argument, nullptr, saved_option},
                                         {"help", no_argument, nullptr, 'h'},
                                         {"version", no_argument, nullptr, 'V'},
                                         {nullptr, 0, nullptr, 0}}};
    command_line out;
    for (;;) {
        const int next = getopt_long(argc, argv, "s:o:l:hV", options.data(), nullptr);
        if (next == -1)
            break;
        const std::string value = optarg == nullptr ? "" : optarg;
        if (next == 's')
            out.subject = value;
        else if (next == 'l')
            out.logs.push_back(value);
        else if (next == saved_option)
            out.files.push_back(value);
        else if (next == 'o' && (value == "text" || value == "jsonl" || value == "html"))
            out.output = value == "text"    ? output_form::text
                         : value == "jsonl" ? output_form::jsonl
                                            : output_form::html;
        else if (next == 'h') {
            print_help();
            return {{}, exit_ok};
        } else if (next == 'V') {
            std::cout << "waxwing-timeline " << version << "\n";
            return {{}, exit_ok};
        } else {
            std::cerr << "waxwing-timeline: wrong option; see --help\n";
            return {{}, exit_usage};
        }
    }
    for (int i = optind; i < argc; ++i)
        out.pages.emplace_back(argv[i]);
    if (out.pages.empty() && out.files.empty() && out.logs.empty()) {
        std::cerr << "waxwing-timeline: at least one IP:PORT or --log FILE is needed; see --help\n";
        return {{}, exit_usage};
    }
    return {std::move(out), std::nullopt};
}

} // namespace waxwinglb::programs::timeline
