#include "edge/log.hpp"
#include "standins/platform/platform.hpp"

#include <thread>

int main(int argc, char** argv) {
    using namespace waxwinglb;
    standins::platform::platform_settings settings;
    const edge::program_description description{"waxwing-standin-platform", WAXWING_VERSION,
                                                "stand-in of the platform for tests and the demo"};
    return edge::run_program(
        argc, argv, description,
        [&](edge::settings_section& top) { standins::platform::read_settings(top, settings); },
        [&](edge::program_context& context) {
            const auto log = edge::make_logger("standin.platform");
            standins::platform::platform_server server{settings, context};
            if (!server.start()) {
                log->error("Cannot listen on {}.", settings.listen);
                return edge::exit_failed;
            }
            log->info("Listening on port {}.", server.port());
            while (!context.stopping)
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
            return edge::exit_ok;
        });
}
