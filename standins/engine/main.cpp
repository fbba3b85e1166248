/// waxwing-standin-engine: stand-in for model engines in tests and demos; one process can serve several.
#include "edge/program.hpp"
#include "standins/engine/engine.hpp"

#include <iostream>

using namespace waxwinglb;

namespace {

struct vm {
    std::string name;
    std::string listen;
};
struct settings {
    standins::engine::engine_options engine;
    std::vector<vm> vms; // one engine each; empty: a single engine as set in `engine`
};

void read_settings(edge::settings_section& top, settings& out) {
    out.engine.listen = top.address("listen", "127.0.0.1:0");
    out.engine.memory = top.bytes("memory", out.engine.memory);
    out.engine.load_time = top.duration("load_time", out.engine.load_time);
    out.engine.token_time = top.duration("token_time", out.engine.token_time);
    out.engine.down_time = top.duration("down_time", out.engine.down_time);
    out.engine.checks_fencing = top.flag("checks_fencing", true);
    top.list("vms", [&](edge::settings_section& engine_settings) {
        out.vms.push_back({engine_settings.text("vm"), engine_settings.address("listen")});
    });
}

int run(edge::program_context& context, const settings& configured) {
    std::vector<std::unique_ptr<standins::engine::engine>> engines;
    const auto add = [&](const std::string& name, const std::string& listen) {
        auto options = configured.engine;
        options.name = name;
        options.listen = listen;
        engines.push_back(std::make_unique<standins::engine::engine>(options));
        if (engines.back()->start())
            return true;
        std::cerr << "standin.engine: can't listen on " << listen << "\n";
        return false;
    };
    if (configured.vms.empty() && !add(context.name, configured.engine.listen))
        return edge::exit_failed;
    for (const vm& machine : configured.vms)
        if (!add(machine.name, machine.listen))
            return edge::exit_failed;
    context.ready = true;
    context.stopping.wait(false);
    return edge::exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    settings configured;
    const edge::program_description description{"waxwing-standin-engine", WAXWING_VERSION,
                                                "a stand-in for model engines, with faults on demand"};
    return edge::run_program(
        argc, argv, description, [&](edge::settings_section& top) { read_settings(top, configured); },
        [&](edge::program_context& context) { return run(context, configured); });
}
