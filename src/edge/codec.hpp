/// Encodes and decodes the frames between the project's processes: header and body in Thrift's compact
/// protocol. Excessive lengths and truncated frames decode to `nullopt`.
#pragma once

#include "waxwing_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwinglb::edge {

constexpr std::size_t max_frame_bytes = 8U << 20U; // a larger frame closes the link

/// A received frame; `body` is the still encoded struct that header.kind names.
struct frame {
    wire::header header;
    std::string body;
};

/// Returns length prefix, header and body, ready to send. `body` is any struct of namespace wire.
template<class body_type>
std::string encode_frame(wire::message_kind::type kind, std::int64_t call, const body_type& body);

/// Decodes the header and observes its clock stamp; `bytes` is one frame without its length prefix.
std::optional<frame> decode_frame(std::string_view bytes);

/// Decodes the body; nullopt if it is malformed or followed by more bytes.
template<class body_type>
std::optional<body_type> decode_body(const std::string& bytes);

} // namespace waxwinglb::edge

#include "edge/codec_impl.hpp"
