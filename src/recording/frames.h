/// @file
/// Encoding and decoding of the frames that a recording file consists of. No I/O.
///
/// Each frame can be checked and decoded without the others, so that all intact frames of a
/// truncated or damaged file can still be read:
///
///   8 bytes   "BGFRAME" and the kind: H header, B block, I index
///   4 bytes   length of the compressed body (all numbers are little-endian)
///   4 bytes   length of the decompressed body
///   8 bytes   XXH3-64 over the 16 bytes before and the compressed body
///   body      zstd; a message of proto/badgergrade/recording/v1
///
/// The header frame comes first and the index frame last. After the index follows a trailer of 16
/// bytes: the offset of the index frame (8 bytes) and "BGINDEX\n".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace badgergrade::recording {

enum class FrameKind : char { Header = 'H', Block = 'B', Index = 'I' };

inline constexpr std::string_view kFrameMark = "BGFRAME";
inline constexpr std::string_view kTrailerMark = "BGINDEX\n";
inline constexpr std::size_t kFrameHeadBytes = 24, kTrailerBytes = 16;
/// Largest body, compressed or not. A larger length field is treated as damage, so that a corrupt
/// file cannot cause a huge allocation.
inline constexpr std::size_t kMaxBodyBytes = 64u << 20;

struct FrameHead {
    FrameKind kind{};
    /// Lengths of the body in bytes.
    std::uint32_t compressed_bytes = 0, decompressed_bytes = 0;
    std::uint64_t checksum = 0;
};

/// A whole frame. Throws std::length_error if `body` exceeds kMaxBodyBytes and std::runtime_error
/// if it cannot be compressed.
std::string encode_frame(FrameKind kind, std::string_view body, int compression_level);
/// The head at the start of `bytes`; if there is no valid one, nothing, and `error` says why.
std::optional<FrameHead> decode_head(std::string_view bytes, std::string& error);
/// The decompressed body of a frame; if it is damaged, nothing, and `error` says why. `head_bytes`
/// is the encoded form of `head`, which the checksum covers too.
std::optional<std::string> decode_body(const FrameHead& head, std::string_view head_bytes,
                                       std::string_view compressed, std::string& error);

std::string encode_trailer(std::uint64_t index_offset);
/// The offset of the index frame, if `bytes` end with a trailer.
std::optional<std::uint64_t> decode_trailer(std::string_view bytes);

}  // namespace badgergrade::recording
