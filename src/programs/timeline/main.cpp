/// waxwing-timeline: merges the time lines of all processes into one.
#include "programs/timeline/collect.hpp"
#include "programs/timeline/command_line.hpp"
#include "programs/timeline/writers.hpp"

#include <chrono>
#include <iostream>

int main(int argc, char** argv) {
    using namespace waxwinglb;
    namespace timeline = programs::timeline;
    const timeline::parsed_line parsed = timeline::parse_command_line(argc, argv, WAXWING_VERSION);
    if (parsed.exit)
        return *parsed.exit;
    const timeline::collected all = timeline::collect(parsed.line.pages, parsed.line.files);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    auto events = core::timeline::merge(all.pages, all.silent,
                                        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    if (!parsed.line.subject.empty())
        events = core::timeline::follow(events, parsed.line.subject);
    std::cout << (parsed.line.output == timeline::output_form::html    ? timeline::write_html(events)
                  : parsed.line.output == timeline::output_form::jsonl ? timeline::write_jsonl(events)
                                                                       : timeline::write_text(events));
    constexpr int exit_nobody = 1;
    return all.pages.empty() ? exit_nobody : 0;
}
