#include "edge/gzip.hpp"

#include <zlib.h>

namespace waxwinglb::edge {
namespace {

constexpr int gzip_window_bits = MAX_WBITS + 16; // zlib's way to ask for gzip's header and trailer
constexpr int memory_level = 8;                  // zlib's default

} // namespace

std::string gzip(std::string_view text) {
    z_stream stream{};
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, gzip_window_bits, memory_level, Z_DEFAULT_STRATEGY) !=
        Z_OK)
        return {};
    std::string out(deflateBound(&stream, text.size()), '\0');
    // zlib only reads from next_in, but its type is a pointer to non-const.
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef*>(out.data());
    stream.avail_out = static_cast<uInt>(out.size());
    const bool whole = deflate(&stream, Z_FINISH) == Z_STREAM_END;
    out.resize(whole ? stream.total_out : 0);
    deflateEnd(&stream);
    return out;
}

} // namespace waxwinglb::edge
