#include "edge/codec.hpp"

#include "edge/clock.hpp"

#include <array>

namespace waxwinglb::edge {

namespace detail {

namespace {
constexpr int max_nesting = 16;
} // namespace

std::string finish_frame(memory_buffer& buffer) {
    const std::string payload = buffer.getBufferAsString();
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::string out;
    out.reserve(payload.size() + 4);
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        out.push_back(static_cast<char>((length >> shift) & 0xffU));
    out += payload;
    return out;
}

std::shared_ptr<memory_buffer> open_buffer(std::string_view bytes) {
    auto limits = std::make_shared<apache::thrift::TConfiguration>(
        static_cast<int>(max_frame_bytes), static_cast<int>(max_frame_bytes), max_nesting);
    // OBSERVE never writes, but the constructor takes a pointer to non-const.
    auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    return std::make_shared<memory_buffer>(start, static_cast<std::uint32_t>(bytes.size()),
                                           memory_buffer::OBSERVE, limits);
}

wire::header make_header(wire::message_kind::type kind, std::int64_t call) {
    wire::header out;
    out.__set_call(call);
    out.__set_kind(kind);
    out.__set_clock(hybrid_clock::process().tick());
    return out;
}

} // namespace detail

std::optional<frame> decode_frame(std::string_view bytes) {
    try {
        const auto buffer = detail::open_buffer(bytes);
        detail::protocol in{buffer, static_cast<std::int32_t>(max_frame_bytes),
                            static_cast<std::int32_t>(max_frame_bytes)};
        frame out;
        out.header.read(&in);
        out.body = buffer->readAsString(buffer->available_read());
        hybrid_clock::process().observe(out.header.clock);
        return out;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace waxwinglb::edge
