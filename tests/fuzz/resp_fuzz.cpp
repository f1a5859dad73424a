// RESP2 in pieces of any size: what is read must not depend on the pieces, and an unfinished
// message stays bounded.
#include <cstdint>
#include <cstdlib>
#include <vector>

#include "resp/resp.h"

using namespace badgergrade;

namespace {
constexpr resp::Limits kLimits{2048, 64};

std::vector<std::vector<std::string>> read(std::string_view all, std::size_t piece, bool& good) {
    std::vector<std::vector<std::string>> out;
    resp::Reader reader(kLimits);
    for (std::size_t at = 0; at < all.size() && !reader.error(); at += piece) {
        std::string_view bytes = all.substr(at, piece);
        while (auto message = reader.read_message(bytes)) {
            out.push_back(std::move(message->words));
        }
        if (reader.buffered_bytes() > kLimits.message_bytes) {
            std::abort();
        }
    }
    good = !reader.error();
    return out;
}
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 1) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    bool whole_good = false, pieces_good = false;
    const auto whole = read(bytes, bytes.size() + 1, whole_good);
    const auto pieces = read(bytes, data[0] % 16 + 1, pieces_good);
    if (whole != pieces || whole_good != pieces_good) {
        std::abort();
    }
    // What was read can be written and read again.
    std::string again;
    for (const auto& words : whole) {
        resp::write(again, words);
    }
    bool again_good = false;
    if (whole.size() < 32 && again.size() < kLimits.message_bytes &&
        (read(again, again.size() + 1, again_good) != whole || !again_good)) {
        std::abort();
    }
    return 0;
}
