/// waxwing-standin-service: stand-in for a plain service in tests and demos.
#include "edge/program.hpp"
#include "standins/service/service.hpp"

#include <iostream>

using namespace waxwinglb;

namespace {

void read_settings(edge::settings_section& top, standins::service::service_options& out) {
    out.listen = top.address("listen");
    out.down_time = top.duration("down_time", out.down_time);
    const std::string role = top.text("role");
    if (role != "ledger" && role != "registry")
        top.fault("role", "expected ledger or registry");
    out.role = role == "registry" ? standins::service::service_role::registry
                                  : standins::service::service_role::ledger;
}

int run(edge::program_context& context, const standins::service::service_options& options) {
    standins::service::service server{options};
    if (!server.start()) {
        std::cerr << "standin.service: can't listen on " << options.listen << "\n";
        return edge::exit_failed;
    }
    context.ready = true;
    context.stopping.wait(false);
    return edge::exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    standins::service::service_options options;
    const edge::program_description description{"waxwing-standin-service", WAXWING_VERSION,
                                                "a stand-in for a plain service, with faults on demand"};
    return edge::run_program(
        argc, argv, description, [&](edge::settings_section& top) { read_settings(top, options); },
        [&](edge::program_context& context) { return run(context, options); });
}
