/// Log lines on standard error: time, level, name of the component, one short sentence.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace waxwinglb::edge {

using logger = std::shared_ptr<spdlog::logger>;

/// Returns the logger of a component, e.g. make_logger("router.calls"). All loggers of a process share the
/// sink.
logger make_logger(const std::string& part);

/// Sets the level (trace, debug, info, warn or error) of existing and future loggers.
void set_log_level(const std::string& level);

} // namespace waxwinglb::edge
