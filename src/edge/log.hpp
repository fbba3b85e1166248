/// Log lines on standard error: time, level, fixed prefix of the part, one short sentence.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace waxwinglb::edge {

using logger = std::shared_ptr<spdlog::logger>;

/// The logger of one part, e.g. make_logger("router.calls"); parts of one process share the sink.
logger make_logger(const std::string& part);

/// trace, debug, info, warn or error; applies to loggers made before and after.
void set_log_level(const std::string& level);

} // namespace waxwinglb::edge
