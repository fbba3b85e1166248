/// waxwingctl: manages a deployment through its administration API.
#include "programs/ctl/commands.hpp"

int main(int argc, char** argv) {
    using namespace waxwinglb::programs::ctl;
    const parsed_command_line parsed = parse_command_line(argc, argv, WAXWING_VERSION);
    return parsed.exit ? *parsed.exit : run_command(parsed.line);
}
