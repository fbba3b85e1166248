#include "programs/steward/steward.hpp"

int main(int argc, char** argv) {
    using namespace waxwinglb;
    programs::steward::steward_settings settings;
    const edge::program_description description{
        "waxwing-steward", WAXWING_VERSION,
        "holds control shards by lease: rates, replica sets, claims and the configuration feed"};
    return edge::run_program(
        argc, argv, description,
        [&](edge::settings_section& top) { programs::steward::read_settings(top, settings); },
        [&](edge::program_context& program) { return programs::steward::run_steward(settings, program); });
}
