// HTTP/1.1 requests and responses, in pieces of any size: what is read must not depend on the
// pieces.
#include <cstdint>
#include <cstdlib>

#include "net/http1.h"

using namespace badgergrade;

namespace {
std::string read(net::Http1Parser::Kind kind, std::string_view bytes, std::size_t piece,
                 bool& good) {
    std::string out;
    net::Http1Parser parser(kind, {4096, 65536}, [&](net::HttpMessage m) {
        out += m.method + " " + m.target + " " + std::to_string(m.status) + "\n";
        for (const auto& [key, value] : m.headers) {
            out += key + ":" + value + "\n";
        }
        out += m.body + "\n";
    });
    good = true;
    for (std::size_t at = 0; good && at < bytes.size(); at += piece) {
        good = parser.feed(bytes.substr(at, piece));
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
    bool whole_good = false, pieces_good = false;
    const std::string whole = read(kind, bytes, bytes.size() + 1, whole_good);
    const std::string pieces = read(kind, bytes, data[1] % 16 + 1, pieces_good);
    if (whole_good && pieces_good && whole != pieces) {
        std::abort();
    }
    return 0;
}
