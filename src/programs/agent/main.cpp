/// waxwing-agent: runs beside each target and is the only door to it.
#include "edge/program.hpp"
#include "programs/agent/agent.hpp"

#include <iostream>

using namespace waxwinglb;

namespace {

int run(edge::program_context& context, const programs::agent::agent_settings& settings) {
    const auto operations = edge::make_operations_server(settings.operations, context);
    if (operations == nullptr) {
        std::cerr << "agent: can't listen on " << settings.operations << "\n";
        return edge::exit_failed;
    }
    programs::agent::agent one{settings, context};
    if (!one.start()) {
        std::cerr << "agent: can't listen on " << settings.listen << "\n";
        return edge::exit_failed;
    }
    one.join();
    return edge::exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    programs::agent::agent_settings settings;
    const edge::program_description description{
        "waxwing-agent", WAXWING_VERSION, "the only door to one target: its memory, its limit, its answers"};
    return edge::run_program(
        argc, argv, description,
        [&](edge::settings_section& top) { programs::agent::read_settings(top, settings); },
        [&](edge::program_context& context) { return run(context, settings); });
}
