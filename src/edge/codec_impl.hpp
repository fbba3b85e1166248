/// Template definitions of codec.hpp; include codec.hpp instead.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace waxwinglb::edge {

namespace detail {

using memory_buffer = apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<memory_buffer>;

/// Returns the buffer's content with its 4-byte big-endian length in front.
std::string finish_frame(memory_buffer& buffer);
/// Returns a read-only buffer over `bytes` that rejects excessive lengths and nesting.
std::shared_ptr<memory_buffer> open_buffer(std::string_view bytes);
wire::header make_header(wire::message_kind::type kind, std::int64_t call);

} // namespace detail

template<class body_type>
std::string encode_frame(wire::message_kind::type kind, std::int64_t call, const body_type& body) {
    auto buffer = std::make_shared<detail::memory_buffer>();
    detail::protocol out{buffer};
    detail::make_header(kind, call).write(&out);
    body.write(&out);
    return detail::finish_frame(*buffer);
}

template<class body_type>
std::optional<body_type> decode_body(const std::string& bytes) {
    try {
        const auto buffer = detail::open_buffer(bytes);
        detail::protocol in{buffer, static_cast<std::int32_t>(max_frame_bytes),
                            static_cast<std::int32_t>(max_frame_bytes)};
        body_type out;
        out.read(&in);
        if (buffer->available_read() != 0)
            return std::nullopt;
        return out;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace waxwinglb::edge
