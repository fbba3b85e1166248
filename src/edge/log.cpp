#include "edge/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

namespace waxwinglb::edge {

logger make_logger(const std::string& part) {
    static const auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    if (auto existing = spdlog::get(part))
        return existing;
    auto made = std::make_shared<spdlog::logger>(part, sink);
    made->set_pattern("%Y-%m-%dT%H:%M:%S.%e %^%l%$ [%n] %v");
    made->set_level(spdlog::get_level());
    made->flush_on(spdlog::level::info);
    spdlog::register_logger(made);
    return made;
}

void set_log_level(const std::string& level) {
    spdlog::set_level(spdlog::level::from_str(level));
}

} // namespace waxwinglb::edge
