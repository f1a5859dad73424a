/// Fuzz target of the HTTP/1.1 parser. Checks that the messages it parses do not depend on how the
/// bytes are split into chunks.
#include <cstdint>
#include <cstdlib>

#include "net/http1.h"

using namespace badgergrade;

namespace {
/// The messages parsed from `bytes` in chunks of `chunk_size` bytes, as text.
std::string parse(net::Http1Parser::Kind kind, std::string_view bytes, std::size_t chunk_size,
                  bool& valid) {
    std::string out;
    net::Http1Parser parser(kind, {4096, 65536}, [&](net::HttpMessage message) {
        out += message.method + " " + message.target + " " + std::to_string(message.status) + "\n";
        for (const auto& [key, value] : message.headers) {
            out += key + ":" + value + "\n";
        }
        out += message.body + "\n";
    });
    valid = true;
    for (std::size_t offset = 0; valid && offset < bytes.size(); offset += chunk_size) {
        valid = parser.feed(bytes.substr(offset, chunk_size));
    }
    return out;
}
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 2) {
        return 0;
    }
    const auto kind =
        data[0] % 2 ? net::Http1Parser::Kind::Requests : net::Http1Parser::Kind::Responses;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
    bool whole_valid = false;
    bool chunked_valid = false;
    const std::string whole = parse(kind, bytes, bytes.size() + 1, whole_valid);
    const std::string chunked = parse(kind, bytes, data[1] % 16 + 1, chunked_valid);
    if (whole_valid && chunked_valid && whole != chunked) {
        std::abort();
    }
    return 0;
}
