/// waxwing-agent: runs beside each target; all requests and orders for the target go through it.
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
    programs::agent::agent agent{settings, context};
    if (!agent.start()) {
        std::cerr << "agent: can't listen on " << settings.listen << "\n";
        return edge::exit_failed;
    }
    agent.join();
    return edge::exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    programs::agent::agent_settings settings;
    const edge::program_description description{
        "waxwing-agent", WAXWING_VERSION,
        "controls access to one target: its memory, its concurrency limit, its answers"};
    return edge::run_program(
        argc, argv, description,
        [&](edge::settings_section& top) { programs::agent::read_settings(top, settings); },
        [&](edge::program_context& context) { return run(context, settings); });
}
