// waxwing-router: accepts callers' requests, routes each to a target and returns the answer.
#include "edge/program.hpp"
#include "programs/router/router.hpp"

int main(int argc, char** argv) {
    using namespace waxwinglb;
    programs::router::router_settings settings;
    const edge::program_description description{"waxwing-router", WAXWING_VERSION,
                                                "takes callers' requests and routes them to targets"};
    return edge::run_program(
        argc, argv, description,
        [&](edge::settings_section& top) { programs::router::read_settings(top, settings); },
        [&](edge::program_context& context) {
            programs::router::router router{context, settings};
            if (!router.start())
                return edge::exit_failed;
            router.run();
            return edge::exit_ok;
        });
}
