/// Command line of waxwing-timeline.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::timeline {

enum class output_form { text, jsonl, html };

struct command_line {
    std::vector<std::string> pages; // "ip:port" of each process's operations pages
    std::vector<std::string> files; // saved /timeline pages, for processes that no longer run
    std::vector<std::string> logs;  // decision logs of gateways; "-": standard input
    std::string subject;            // request id, "service/model", customer, shard or revision; empty: all
    output_form output = output_form::text;
};

struct parsed_command_line {
    command_line line;
    std::optional<int> exit; // set when the program should end at once
};
[[nodiscard]] parsed_command_line parse_command_line(int argc, char** argv, const std::string& version);

} // namespace waxwinglb::programs::timeline
