/// Frames between the project's processes: header and body in Thrift's compact protocol.
/// Hostile lengths and truncated frames are refused with an exception inside, `nullopt` outside.
#pragma once

#include "waxwing_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwinglb::edge {

constexpr std::size_t max_frame_bytes = 8U << 20U; // larger frames close the link

/// A received frame; `body` still holds the encoded struct that header.kind names.
struct frame {
    wire::header header;
    std::string body;
};

/// Length prefix, header and body, ready to send. `body` is any struct of namespace wire.
template<class body_type>
std::string encode_frame(wire::message_kind::type kind, std::int64_t call, const body_type& body);

/// Splits off the header; the input is one frame without its length prefix.
std::optional<frame> decode_frame(std::string_view bytes);

/// Decodes the body; nullopt if it is malformed or has bytes left over.
template<class body_type>
std::optional<body_type> decode_body(const std::string& bytes);

} // namespace waxwinglb::edge

#include "edge/codec_impl.hpp"
