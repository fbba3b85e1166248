/// The commands of waxwingctl.
#pragma once

#include "programs/ctl/command_line.hpp"

namespace waxwinglb::programs::ctl {

/// Carries out the command; returns the exit code.
int run_command(const command_line& line);

} // namespace waxwinglb::programs::ctl
