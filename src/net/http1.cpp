#include "net/http1.h"

#include <algorithm>
#include <charconv>
#include <climits>

namespace badgergrade::net {

std::optional<std::string_view> HttpMessage::header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::int64_t> HttpMessage::number(std::string_view name) const {
    const auto text = header(name);
    if (!text) {
        return std::nullopt;
    }
    std::int64_t out = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), out);
    if (error != std::errc{} || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return out;
}

std::size_t held_bytes(const HttpMessage& message) {
    std::size_t held = message.target.capacity() + message.body.capacity() +
                       message.headers.capacity() * sizeof message.headers.front();
    for (const auto& [name, value] : message.headers) {
        held += name.capacity() + value.capacity();
    }
    return held;
}

Http1Parser::Http1Parser(Kind kind, HttpLimits limits, std::function<void(HttpMessage)> on_message)
    : limits_(limits),
      on_message_(std::move(on_message)) {
    http_parser_init(&parser_, kind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

bool Http1Parser::feed(std::string_view bytes) {
    if (!error_.empty()) {
        return false;
    }
    static const http_parser_settings kSettings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = message_begin;
        settings.on_url = url;
        settings.on_header_field = field;
        settings.on_header_value = value;
        settings.on_headers_complete = headers_complete;
        settings.on_body = body;
        settings.on_message_complete = message_complete;
        return settings;
    }();
    const std::size_t parsed =
        http_parser_execute(&parser_, &kSettings, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&parser_);
    if (parser_.upgrade) {
        error_ = "protocol upgrades are not supported";
    } else if (code != HPE_OK || parsed != bytes.size()) {
        if (error_.empty()) {
            error_ = http_errno_description(code);
        }
    }
    return error_.empty();
}

bool Http1Parser::add_head_bytes(std::size_t size) {
    head_bytes_ += size;
    if (head_bytes_ <= limits_.head_bytes) {
        return true;
    }
    error_ = "expected a header section of at most " + std::to_string(limits_.head_bytes) +
             " bytes, got more";
    return false;
}

int Http1Parser::message_begin(http_parser* parser) {
    Http1Parser& self = of(parser);
    self.message_ = {};
    self.head_bytes_ = 0;
    self.in_value_ = false;
    return 0;
}

int Http1Parser::url(http_parser* parser, const char* data, std::size_t size) {
    of(parser).message_.target.append(data, size);
    return of(parser).add_head_bytes(size) ? 0 : 1;
}

int Http1Parser::field(http_parser* parser, const char* data, std::size_t size) {
    Http1Parser& self = of(parser);
    if (self.in_value_ || self.message_.headers.empty()) {
        if (!self.add_head_bytes(kHeadFieldBytes)) {
            return 1;
        }
        self.message_.headers.emplace_back();
    }
    self.in_value_ = false;
    for (std::size_t i = 0; i < size; ++i) {
        const char c = data[i];
        self.message_.headers.back().first +=
            c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return self.add_head_bytes(size) ? 0 : 1;
}

int Http1Parser::value(http_parser* parser, const char* data, std::size_t size) {
    Http1Parser& self = of(parser);
    if (self.message_.headers.empty()) {
        return 1;
    }
    self.in_value_ = true;
    self.message_.headers.back().second.append(data, size);
    return self.add_head_bytes(size) ? 0 : 1;
}

int Http1Parser::headers_complete(http_parser* parser) {
    Http1Parser& self = of(parser);
    self.message_.method = http_method_str(static_cast<http_method>(parser->method));
    self.message_.status = static_cast<int>(parser->status_code);
    self.message_.keep_alive = http_should_keep_alive(parser) != 0;
    if (parser->content_length != ULLONG_MAX && parser->content_length > self.limits_.body_bytes) {
        self.error_ = "expected a body of at most " + std::to_string(self.limits_.body_bytes) +
                      " bytes, got more";
        return -1;
    }
    return 0;
}

int Http1Parser::body(http_parser* parser, const char* data, std::size_t size) {
    Http1Parser& self = of(parser);
    if (self.message_.body.size() + size > self.limits_.body_bytes) {
        self.error_ = "expected a body of at most " + std::to_string(self.limits_.body_bytes) +
                      " bytes, got more";
        return 1;
    }
    self.message_.body.append(data, size);
    return 0;
}

int Http1Parser::message_complete(http_parser* parser) {
    Http1Parser& self = of(parser);
    self.on_message_(std::exchange(self.message_, {}));
    return 0;
}

std::string_view reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 204:
            return "No Content";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 413:
            return "Payload Too Large";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

namespace {
/// Appends everything after the first line.
void add_headers_and_body(std::string& out, const HttpMessage& message) {
    for (const auto& [key, value] : message.headers) {
        out.append(key).append(": ").append(value).append("\r\n");
    }
    out += "content-length: " + std::to_string(message.body.size()) + "\r\n";
    if (!message.keep_alive) {
        out += "connection: close\r\n";
    }
    out += "\r\n";
    out += message.body;
}
}  // namespace

std::string to_bytes_request(const HttpMessage& message, std::string_view host) {
    std::string out = message.method + " " + message.target + " HTTP/1.1\r\nhost: ";
    out.append(host).append("\r\n");
    add_headers_and_body(out, message);
    return out;
}

std::string to_bytes_response(const HttpMessage& message) {
    std::string out = "HTTP/1.1 " + std::to_string(message.status) + " ";
    out.append(reason_phrase(message.status)).append("\r\n");
    add_headers_and_body(out, message);
    return out;
}

}  // namespace badgergrade::net
