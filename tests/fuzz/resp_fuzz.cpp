// Fuzzes the RESP2 parser: the result must not depend on how the bytes are split, and the buffered
// part of a message must stay within the limits.
#include <cstdint>
#include <cstdlib>
#include <vector>

#include "resp/resp.h"

using namespace badgergrade;

namespace {
constexpr resp::Limits kLimits{2048, 64};

std::vector<std::vector<std::string>> read(std::string_view bytes, std::size_t piece_bytes,
                                           bool& valid) {
    std::vector<std::vector<std::string>> out;
    resp::Reader reader(kLimits);
    for (std::size_t offset = 0; offset < bytes.size() && !reader.error(); offset += piece_bytes) {
        std::string_view piece = bytes.substr(offset, piece_bytes);
        while (auto message = reader.read_message(piece)) {
            out.push_back(std::move(message->words));
        }
        if (reader.buffered_bytes() > kLimits.message_bytes) {
            std::abort();
        }
    }
    valid = !reader.error();
    return out;
}
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 1) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    bool whole_valid = false, pieces_valid = false;
    const auto whole = read(bytes, bytes.size() + 1, whole_valid);
    const auto pieces = read(bytes, data[0] % 16 + 1, pieces_valid);
    if (whole != pieces || whole_valid != pieces_valid) {
        std::abort();
    }
    // Messages that were read can be written and read again.
    std::string rewritten;
    for (const auto& words : whole) {
        resp::write(rewritten, words);
    }
    bool rewritten_valid = false;
    if (whole.size() < 32 && rewritten.size() < kLimits.message_bytes &&
        (read(rewritten, rewritten.size() + 1, rewritten_valid) != whole || !rewritten_valid)) {
        std::abort();
    }
    return 0;
}
