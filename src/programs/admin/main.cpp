/// waxwing-admin: checks operators' changes and accepts them by a conditional update in the platform's store.
#include "edge/program.hpp"
#include "programs/admin/run.hpp"

int main(int argc, char** argv) {
    using namespace waxwinglb;
    programs::admin::admin_settings settings;
    const edge::program_description description{"waxwing-admin", WAXWING_VERSION,
                                                "administration API: checks and accepts configuration"};
    return edge::run_program(
        argc, argv, description,
        [&](edge::settings_section& top) { programs::admin::read_settings(top, settings); },
        [&](edge::program_context& context) { return programs::admin::run(settings, context); });
}
