/// Output formats of a merged time line.
#pragma once

#include "core/timeline/merge.hpp"

#include <string>
#include <vector>

namespace waxwinglb::programs::timeline {

[[nodiscard]] std::string write_text(const std::vector<core::timeline::event>& events);
[[nodiscard]] std::string write_jsonl(const std::vector<core::timeline::event>& events);
/// A self-contained page with a lane for each process, zoom and a filter.
[[nodiscard]] std::string write_html(const std::vector<core::timeline::event>& events);

} // namespace waxwinglb::programs::timeline
