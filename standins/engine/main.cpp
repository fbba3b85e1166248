/// waxwing-standin-engine: stands in for model engines in tests and demos; one process may serve several.
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
    std::vector<vm> vms; // further engines of this process
};

void read(edge::settings_section& top, settings& out) {
    out.engine.listen = top.address("listen", "127.0.0.1:0");
    out.engine.memory = top.bytes("memory", out.engine.memory);
    out.engine.load_time = top.duration("load_time", out.engine.load_time);
    out.engine.token_time = top.duration("token_time", out.engine.token_time);
    out.engine.down_time = top.duration("down_time", out.engine.down_time);
    out.engine.checks_fencing = top.flag("checks_fencing", true);
    top.list("vms", [&](edge::settings_section& one) {
        out.vms.push_back({one.text("vm"), one.address("listen")});
    });
}

int run(edge::program_context& context, const settings& from) {
    std::vector<std::unique_ptr<standins::engine::engine>> engines;
    const auto add = [&](const std::string& name, const std::string& listen) {
        auto options = from.engine;
        options.name = name;
        options.listen = listen;
        engines.push_back(std::make_unique<standins::engine::engine>(options));
        if (engines.back()->start())
            return true;
        std::cerr << "standin.engine: can't listen on " << listen << "\n";
        return false;
    };
    if (from.vms.empty() && !add(context.name, from.engine.listen))
        return edge::exit_failed;
    for (const vm& one : from.vms)
        if (!add(one.name, one.listen))
            return edge::exit_failed;
    context.ready = true;
    context.stopping.wait(false);
    return edge::exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    settings from;
    const edge::program_description description{"waxwing-standin-engine", WAXWING_VERSION,
                                                "a stand-in for model engines, with faults on demand"};
    return edge::run_program(
        argc, argv, description, [&](edge::settings_section& top) { read(top, from); },
        [&](edge::program_context& context) { return run(context, from); });
}
