#include "recording/frames.h"

#include <xxhash.h>
#include <zstd.h>

#include <memory>
#include <stdexcept>

namespace badgergrade::recording {

namespace {

void put(std::string& out, std::uint64_t value, int bytes) {
    for (int k = 0; k < bytes; ++k) {
        out.push_back(static_cast<char>(value >> (8 * k) & 0xff));
    }
}

std::uint64_t get(std::string_view bytes, std::size_t at, int count) {
    std::uint64_t out = 0;
    for (int k = count - 1; k >= 0; --k) {
        out = out << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(k)]);
    }
    return out;
}

std::uint64_t sum_of(std::string_view before, std::string_view packed) {
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    XXH3_64bits_update(state.get(), before.data(), before.size());
    XXH3_64bits_update(state.get(), packed.data(), packed.size());
    return XXH3_64bits_digest(state.get());
}

}  // namespace

std::string pack_frame(FrameKind kind, std::string_view body, int level) {
    if (body.size() > kFrameMost) {
        throw std::length_error("a frame of " + std::to_string(body.size()) +
                                " bytes is more than a recording holds");
    }
    std::string packed(ZSTD_compressBound(body.size()), '\0');
    const std::size_t size =
        ZSTD_compress(packed.data(), packed.size(), body.data(), body.size(), level);
    if (ZSTD_isError(size)) {
        throw std::runtime_error(std::string("zstd: ") + ZSTD_getErrorName(size));
    }
    packed.resize(size);
    std::string out(kFrameMark);
    out.push_back(static_cast<char>(kind));
    put(out, packed.size(), 4);
    put(out, body.size(), 4);
    put(out, sum_of(out, packed), 8);
    return out + packed;
}

std::optional<FrameHead> read_head(std::string_view bytes, std::string& why) {
    if (bytes.size() < kFrameHead) {
        why = "the file ends within the head of a frame";
        return std::nullopt;
    }
    if (bytes.substr(0, kFrameMark.size()) != kFrameMark) {
        why = "no frame begins here";
        return std::nullopt;
    }
    FrameHead head;
    head.kind = static_cast<FrameKind>(bytes[kFrameMark.size()]);
    if (head.kind != FrameKind::Header && head.kind != FrameKind::Block &&
        head.kind != FrameKind::Index) {
        why = "a frame of an unknown kind";
        return std::nullopt;
    }
    head.packed = static_cast<std::uint32_t>(get(bytes, 8, 4));
    head.unpacked = static_cast<std::uint32_t>(get(bytes, 12, 4));
    head.sum = get(bytes, 16, 8);
    if (head.packed > kFrameMost || head.unpacked > kFrameMost) {
        why = "a frame's length makes no sense";
        return std::nullopt;
    }
    return head;
}

std::optional<std::string> unpack_body(const FrameHead& head, std::string_view head_bytes,
                                       std::string_view packed, std::string& why) {
    if (packed.size() < head.packed) {
        why = "the file ends " + std::to_string(head.packed - packed.size()) +
              " bytes short of a whole frame";
        return std::nullopt;
    }
    packed = packed.substr(0, head.packed);
    if (sum_of(head_bytes.substr(0, 16), packed) != head.sum) {
        why = "the checksum differs";
        return std::nullopt;
    }
    std::string body(head.unpacked, '\0');
    const std::size_t size =
        ZSTD_decompress(body.data(), body.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) || size != body.size()) {
        why = "can't be unpacked";
        return std::nullopt;
    }
    return body;
}

std::string pack_trailer(std::uint64_t index_at) {
    std::string out;
    put(out, index_at, 8);
    return out + std::string(kTrailerMark);
}

std::optional<std::uint64_t> read_trailer(std::string_view bytes) {
    if (bytes.size() < kTrailer) {
        return std::nullopt;
    }
    bytes.remove_prefix(bytes.size() - kTrailer);
    if (bytes.substr(8) != kTrailerMark) {
        return std::nullopt;
    }
    return get(bytes, 0, 8);
}

}  // namespace badgergrade::recording
