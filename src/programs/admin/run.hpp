/// The process: threads, event ring and event loop.
#pragma once

#include "edge/program.hpp"
#include "programs/admin/settings.hpp"

namespace waxwinglb::programs::admin {

int run(const admin_settings& settings, edge::program_context& context);

} // namespace waxwinglb::programs::admin
