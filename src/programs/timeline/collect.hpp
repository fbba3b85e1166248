/// Fetches the time lines of several processes concurrently.
#pragma once

#include "core/timeline/merge.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::timeline {

struct collected {
    std::vector<core::timeline::page> pages;
    std::vector<core::timeline::silent_process> silent;
};

[[nodiscard]] collected collect(const std::vector<std::string>& addresses,
                                const std::vector<std::string>& files);

} // namespace waxwinglb::programs::timeline
