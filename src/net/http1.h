// HTTP/1.1 messages without sockets: bytes in, whole messages out (http-parser does the reading).
// Limits guard against heads and bodies without end.
#pragma once

#include <http_parser.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace badgergrade::net {

struct HttpMessage {
    std::string method, target;                                // requests
    int status = 0;                                            // responses
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
    std::string body;
    bool keep_alive = true;

    // The first header of that name (lower case), if any.
    std::optional<std::string_view> header(std::string_view name) const;
    // A whole number from a header; nothing where it is missing or no number.
    std::optional<std::int64_t> number(std::string_view name) const;
};

struct HttpLimits {
    std::size_t head_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
};

class Http1Parser {
public:
    enum class Kind { Requests, Responses };
    Http1Parser(Kind kind, HttpLimits limits, std::function<void(HttpMessage)> on_message);
    Http1Parser(const Http1Parser&) = delete;

    // Feeds bytes; false where they are no HTTP or break a limit: then error() says what is wrong
    // and no more may be fed.
    bool feed(std::string_view bytes);

    const std::string& error() const { return error_; }

private:
    static int message_begin(http_parser* p);
    static int url(http_parser* p, const char* at, std::size_t size);
    static int field(http_parser* p, const char* at, std::size_t size);
    static int value(http_parser* p, const char* at, std::size_t size);
    static int headers_complete(http_parser* p);
    static int body(http_parser* p, const char* at, std::size_t size);
    static int message_complete(http_parser* p);
    bool grow_head(std::size_t size);

    static Http1Parser& of(http_parser* p) { return *static_cast<Http1Parser*>(p->data); }

    http_parser parser_;
    HttpLimits limits_;
    std::function<void(HttpMessage)> on_message_;
    HttpMessage now_;
    std::size_t head_ = 0;
    bool in_value_ = false;
    std::string error_;
};

std::string to_bytes_request(const HttpMessage& message, std::string_view host);
std::string to_bytes_response(const HttpMessage& message);
std::string_view reason_phrase(int status);

}  // namespace badgergrade::net
