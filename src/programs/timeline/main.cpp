/// waxwing-timeline: merges the time lines of all processes into one.
#include "core/timeline/request_trace.hpp"
#include "programs/timeline/collect.hpp"
#include "programs/timeline/command_line.hpp"
#include "programs/timeline/writers.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace timeline = waxwinglb::programs::timeline;
namespace core_timeline = waxwinglb::core::timeline;

constexpr int exit_no_data = 1;

std::string write(const std::vector<core_timeline::event>& events, timeline::output_form form) {
    switch (form) {
    case timeline::output_form::html:
        return timeline::write_html(events);
    case timeline::output_form::jsonl:
        return timeline::write_jsonl(events);
    case timeline::output_form::text:
        break;
    }
    return timeline::write_text(events);
}

/// Prints events from decision logs. Returns exit_no_data if a log can't be read or no event matches.
int show_logs(const timeline::command_line& line) {
    std::stringstream text;
    for (const std::string& name : line.logs) {
        std::ifstream file{name};
        if (name != "-" && !file) {
            std::cerr << "waxwing-timeline: can't read " << name << "\n";
            return exit_no_data;
        }
        text << (name == "-" ? std::cin.rdbuf() : file.rdbuf()) << "\n";
    }
    auto decisions = core_timeline::read_decisions(text);
    if (line.subject.empty()) {
        std::cout << write(core_timeline::as_events(decisions), line.output);
        return decisions.empty() ? exit_no_data : 0;
    }
    const auto trace = core_timeline::trace_request(decisions, line.subject);
    std::cout << write(core_timeline::as_events(trace), line.output);
    if (line.output == timeline::output_form::text)
        std::cout << "cause: " << core_timeline::cause_of(trace, line.subject) << "\n";
    return trace.empty() ? exit_no_data : 0;
}

} // namespace

int main(int argc, char** argv) {
    using namespace waxwinglb;
    const timeline::parsed_command_line parsed = timeline::parse_command_line(argc, argv, WAXWING_VERSION);
    if (parsed.exit)
        return *parsed.exit;
    if (!parsed.line.logs.empty())
        return show_logs(parsed.line);
    const timeline::collected all = timeline::collect(parsed.line.pages, parsed.line.files);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    auto events = core::timeline::merge(all.pages, all.silent,
                                        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    if (!parsed.line.subject.empty())
        events = core::timeline::follow(events, parsed.line.subject);
    std::cout << write(events, parsed.line.output);
    return all.pages.empty() ? exit_no_data : 0;
}
