// waxwing-gateway: receives callers' requests on the users' platform, forwards each to a target and returns
// the target's answer. One gateway at a time, the order giver, orders targets to load and unload models.
#include "edge/program.hpp"
#include "programs/gateway/gateway.hpp"

#include <malloc.h>

namespace {

// Blocks of bodies and answers go back to the system when they are freed. With glibc's default the threshold
// rises to the largest block freed so far, and such blocks then stay in the process.
constexpr int returned_block = 256 << 10; // bytes

} // namespace

int main(int argc, char** argv) {
    using namespace waxwinglb;
    mallopt(M_MMAP_THRESHOLD, returned_block);
    programs::gateway::gateway_settings settings;
    const edge::program_description description{"waxwing-gateway", WAXWING_VERSION,
                                                "serves callers and places models on the users' platform"};
    return edge::run_program(
        argc, argv, description,
        [&](edge::settings_section& top) { programs::gateway::read_settings(top, settings); },
        [&](edge::program_context& context) {
            settings.name = context.name;
            programs::gateway::gateway instance{context, settings};
            if (!instance.start())
                return edge::exit_failed;
            instance.run();
            return edge::exit_ok;
        });
}
