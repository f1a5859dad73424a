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
    const auto [end, wrong] = std::from_chars(text->data(), text->data() + text->size(), out);
    if (wrong != std::errc{} || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return out;
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
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = message_begin;
        s.on_url = url;
        s.on_header_field = field;
        s.on_header_value = value;
        s.on_headers_complete = headers_complete;
        s.on_body = body;
        s.on_message_complete = message_complete;
        return s;
    }();
    const std::size_t took = http_parser_execute(&parser_, &kSettings, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&parser_);
    if (parser_.upgrade) {
        error_ = "an upgrade to another protocol is not offered";
    } else if (code != HPE_OK || took != bytes.size()) {
        if (error_.empty()) {
            error_ = http_errno_description(code);
        }
    }
    return error_.empty();
}

bool Http1Parser::grow_head(std::size_t size) {
    head_ += size;
    if (head_ <= limits_.head_bytes) {
        return true;
    }
    error_ = "the head is larger than " + std::to_string(limits_.head_bytes) + " bytes";
    return false;
}

int Http1Parser::message_begin(http_parser* p) {
    Http1Parser& self = of(p);
    self.now_ = {};
    self.head_ = 0;
    self.in_value_ = false;
    return 0;
}

int Http1Parser::url(http_parser* p, const char* at, std::size_t size) {
    of(p).now_.target.append(at, size);
    return of(p).grow_head(size) ? 0 : 1;
}

int Http1Parser::field(http_parser* p, const char* at, std::size_t size) {
    Http1Parser& self = of(p);
    if (self.in_value_ || self.now_.headers.empty()) {
        self.now_.headers.emplace_back();
    }
    self.in_value_ = false;
    for (std::size_t k = 0; k < size; ++k) {
        const char c = at[k];
        self.now_.headers.back().first +=
            c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return self.grow_head(size) ? 0 : 1;
}

int Http1Parser::value(http_parser* p, const char* at, std::size_t size) {
    Http1Parser& self = of(p);
    if (self.now_.headers.empty()) {
        return 1;
    }
    self.in_value_ = true;
    self.now_.headers.back().second.append(at, size);
    return self.grow_head(size) ? 0 : 1;
}

int Http1Parser::headers_complete(http_parser* p) {
    Http1Parser& self = of(p);
    self.now_.method = http_method_str(static_cast<http_method>(p->method));
    self.now_.status = static_cast<int>(p->status_code);
    self.now_.keep_alive = http_should_keep_alive(p) != 0;
    if (p->content_length != ULLONG_MAX && p->content_length > self.limits_.body_bytes) {
        self.error_ =
            "the body is larger than " + std::to_string(self.limits_.body_bytes) + " bytes";
        return -1;
    }
    return 0;
}

int Http1Parser::body(http_parser* p, const char* at, std::size_t size) {
    Http1Parser& self = of(p);
    if (self.now_.body.size() + size > self.limits_.body_bytes) {
        self.error_ =
            "the body is larger than " + std::to_string(self.limits_.body_bytes) + " bytes";
        return 1;
    }
    self.now_.body.append(at, size);
    return 0;
}

int Http1Parser::message_complete(http_parser* p) {
    Http1Parser& self = of(p);
    self.on_message_(std::exchange(self.now_, {}));
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
void add_rest(std::string& out, const HttpMessage& message) {
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
    add_rest(out, message);
    return out;
}

std::string to_bytes_response(const HttpMessage& message) {
    std::string out = "HTTP/1.1 " + std::to_string(message.status) + " ";
    out.append(reason_phrase(message.status)).append("\r\n");
    add_rest(out, message);
    return out;
}

}  // namespace badgergrade::net
