// A recording is a row of frames, each good by itself, so that a cut or damaged file is read as far
// as it is whole:
//
//   8 bytes   "BGFRAME" and the kind: H header, B block, I index
//   4 bytes   length of the packed body (all numbers little-endian)
//   4 bytes   length once unpacked
//   8 bytes   XXH3-64 over the 16 bytes before and the packed body
//   body      zstd; a message of proto/badgergrade/recording/v1
//
// The header comes first, the index last; behind it 16 bytes: where the index stands, and
// "BGINDEX\n". No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace badgergrade::recording {

enum class FrameKind : char { Header = 'H', Block = 'B', Index = 'I' };

inline constexpr std::string_view kFrameMark = "BGFRAME";
inline constexpr std::string_view kTrailerMark = "BGINDEX\n";
inline constexpr std::size_t kFrameHead = 24, kTrailer = 16;
// No frame is larger, packed or not: a length beyond is damage, not a reason to ask for memory.
inline constexpr std::size_t kFrameMost = 64u << 20;

struct FrameHead {
    FrameKind kind{};
    std::uint32_t packed = 0, unpacked = 0;
    std::uint64_t sum = 0;
};

std::string pack_frame(FrameKind kind, std::string_view body, int level);
// The head of a frame; `why` says what is wrong where there is none.
std::optional<FrameHead> read_head(std::string_view bytes, std::string& why);
// The body of the frame that `head_bytes` begins; `why` says what is wrong with it.
std::optional<std::string> unpack_body(const FrameHead& head, std::string_view head_bytes,
                                       std::string_view packed, std::string& why);

std::string pack_trailer(std::uint64_t index_at);
std::optional<std::uint64_t> read_trailer(std::string_view bytes);

}  // namespace badgergrade::recording
