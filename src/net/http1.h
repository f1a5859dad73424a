/// HTTP/1.1 without sockets: an incremental parser (on http-parser) that turns bytes into complete
/// messages, and the serialization of messages. Limits in bytes bound the memory that a peer can
/// use with an endless header section or body. Upgrades are rejected.
#pragma once

#include <http_parser.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace badgergrade::net {

/// A complete request or response.
struct HttpMessage {
    std::string method, target;                                // requests
    int status = 0;                                            // responses
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
    std::string body;
    bool keep_alive = true;

    /// The first header with this name (lower case), if any.
    std::optional<std::string_view> header(std::string_view name) const;
    /// The value of a header as an integer; nothing if it is missing or not an integer.
    std::optional<std::int64_t> number(std::string_view name) const;
};

/// Limits of one message.
struct HttpLimits {
    /// Target, header names and values together, and kHeadFieldBytes for each header.
    std::size_t head_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
};

/// What a header counts beside its name and value, as in HTTP/2: a short one occupies far more than
/// its bytes on the wire.
constexpr std::size_t kHeadFieldBytes = 32;

/// Memory that a message occupies.
std::size_t held_bytes(const HttpMessage& message);

/// Parses one direction of a connection. `on_message` is called with each complete message.
class Http1Parser {
public:
    enum class Kind { Requests, Responses };
    Http1Parser(Kind kind, HttpLimits limits, std::function<void(HttpMessage)> on_message);
    Http1Parser(const Http1Parser&) = delete;

    /// Parses more bytes. False if they are not valid HTTP or exceed a limit: error() then holds
    /// the reason, and the parser accepts no more bytes.
    bool feed(std::string_view bytes);

    const std::string& error() const { return error_; }

    /// Memory of the message that is incomplete.
    std::size_t held_bytes() const { return net::held_bytes(message_); }

private:
    // Callbacks of http-parser; a result other than 0 stops it.
    static int message_begin(http_parser* parser);
    static int url(http_parser* parser, const char* data, std::size_t size);
    static int field(http_parser* parser, const char* data, std::size_t size);
    static int value(http_parser* parser, const char* data, std::size_t size);
    static int headers_complete(http_parser* parser);
    static int body(http_parser* parser, const char* data, std::size_t size);
    static int message_complete(http_parser* parser);
    /// Adds to the size of the header section. False if it exceeds the limit.
    bool add_head_bytes(std::size_t size);

    static Http1Parser& of(http_parser* parser) { return *static_cast<Http1Parser*>(parser->data); }

    http_parser parser_;
    HttpLimits limits_;
    std::function<void(HttpMessage)> on_message_;
    /// The message that is being parsed.
    HttpMessage message_;
    std::size_t head_bytes_ = 0;
    /// Whether the last callback for a header was for its value; the next name then starts a
    /// header.
    bool in_value_ = false;
    std::string error_;
};

/// The bytes of a request; `host` is the value of its host header.
std::string to_bytes_request(const HttpMessage& message, std::string_view host);
/// The bytes of a response.
std::string to_bytes_response(const HttpMessage& message);
/// The reason phrase of a status; "Status" for one that is not used here.
std::string_view reason_phrase(int status);

}  // namespace badgergrade::net
