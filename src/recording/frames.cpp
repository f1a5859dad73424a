#include "recording/frames.h"

#include <xxhash.h>
#include <zstd.h>

#include <memory>
#include <stdexcept>

namespace badgergrade::recording {

namespace {

void append_number(std::string& out, std::uint64_t value, int count) {
    for (int k = 0; k < count; ++k) {
        out.push_back(static_cast<char>(value >> (8 * k) & 0xff));
    }
}

std::uint64_t read_number(std::string_view bytes, std::size_t offset, int count) {
    std::uint64_t out = 0;
    for (int k = count - 1; k >= 0; --k) {
        out = out << 8 | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(k)]);
    }
    return out;
}

std::uint64_t checksum_of(std::string_view head, std::string_view compressed) {
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    XXH3_64bits_update(state.get(), head.data(), head.size());
    XXH3_64bits_update(state.get(), compressed.data(), compressed.size());
    return XXH3_64bits_digest(state.get());
}

}  // namespace

std::string encode_frame(FrameKind kind, std::string_view body, int compression_level) {
    if (body.size() > kMaxBodyBytes) {
        throw std::length_error("the frame body of " + std::to_string(body.size()) +
                                " bytes exceeds the limit of 64 MiB");
    }
    std::string compressed(ZSTD_compressBound(body.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), body.data(),
                                           body.size(), compression_level);
    if (ZSTD_isError(size)) {
        throw std::runtime_error(std::string("zstd: ") + ZSTD_getErrorName(size));
    }
    compressed.resize(size);
    std::string out(kFrameMark);
    out.push_back(static_cast<char>(kind));
    append_number(out, compressed.size(), 4);
    append_number(out, body.size(), 4);
    append_number(out, checksum_of(out, compressed), 8);
    return out + compressed;
}

std::optional<FrameHead> decode_head(std::string_view bytes, std::string& error) {
    if (bytes.size() < kFrameHeadBytes) {
        error = "the file is truncated within the head of a frame";
        return std::nullopt;
    }
    if (bytes.substr(0, kFrameMark.size()) != kFrameMark) {
        error = "expected the start of a frame, got other bytes";
        return std::nullopt;
    }
    FrameHead head;
    head.kind = static_cast<FrameKind>(bytes[kFrameMark.size()]);
    if (head.kind != FrameKind::Header && head.kind != FrameKind::Block &&
        head.kind != FrameKind::Index) {
        error = "unknown kind of frame: expected H, B or I";
        return std::nullopt;
    }
    head.compressed_bytes = static_cast<std::uint32_t>(read_number(bytes, 8, 4));
    head.decompressed_bytes = static_cast<std::uint32_t>(read_number(bytes, 12, 4));
    head.checksum = read_number(bytes, 16, 8);
    if (head.compressed_bytes > kMaxBodyBytes || head.decompressed_bytes > kMaxBodyBytes) {
        error = "the length of the frame body exceeds the limit of 64 MiB";
        return std::nullopt;
    }
    return head;
}

std::optional<std::string> decode_body(const FrameHead& head, std::string_view head_bytes,
                                       std::string_view compressed, std::string& error) {
    if (compressed.size() < head.compressed_bytes) {
        error =
            "the file is truncated: " + std::to_string(head.compressed_bytes - compressed.size()) +
            " bytes of the frame are missing";
        return std::nullopt;
    }
    compressed = compressed.substr(0, head.compressed_bytes);
    if (checksum_of(head_bytes.substr(0, 16), compressed) != head.checksum) {
        error = "checksum mismatch";
        return std::nullopt;
    }
    std::string body(head.decompressed_bytes, '\0');
    const std::size_t size =
        ZSTD_decompress(body.data(), body.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) || size != body.size()) {
        error = "zstd could not decompress the frame body to the length in its head";
        return std::nullopt;
    }
    return body;
}

std::string encode_trailer(std::uint64_t index_offset) {
    std::string out;
    append_number(out, index_offset, 8);
    return out + std::string(kTrailerMark);
}

std::optional<std::uint64_t> decode_trailer(std::string_view bytes) {
    if (bytes.size() < kTrailerBytes) {
        return std::nullopt;
    }
    bytes.remove_prefix(bytes.size() - kTrailerBytes);
    if (bytes.substr(8) != kTrailerMark) {
        return std::nullopt;
    }
    return read_number(bytes, 0, 8);
}

}  // namespace badgergrade::recording
