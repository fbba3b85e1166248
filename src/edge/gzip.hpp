/// Compression of large answers between processes; edge/http_client decompresses them.
#pragma once

#include <string>
#include <string_view>

namespace waxwinglb::edge {

/// `text` in the gzip format, at the fastest level; empty if memory ran out.
[[nodiscard]] std::string gzip(std::string_view text);

} // namespace waxwinglb::edge
