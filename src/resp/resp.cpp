#include "resp/resp.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace badgergrade::resp {

namespace {

/// Limit of an element header. A length needs at most a type, a sign, 19 digits, CR and LF; simple
/// strings and errors, which consist of a header only, may be a little longer.
constexpr std::size_t kMaxHeaderBytes = 128;
/// CR and LF.
constexpr std::size_t kLineEndBytes = 2;
/// The length of a null string or array.
constexpr long long kNullLength = -1;

std::optional<long long> parse_integer(std::string_view text) {
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

// A string that fits into its own object uses no other memory.
std::size_t heap_bytes(const std::string& text) {
    static const std::size_t kInlineCapacity = std::string().capacity();
    return text.capacity() > kInlineCapacity ? text.capacity() + 1 : 0;
}

}  // namespace

std::size_t Reader::held_bytes() const {
    return heap_bytes(header_) + heap_bytes(body_) +
           message_.words.capacity() * sizeof(std::string) + word_heap_bytes_;
}

bool Reader::fail(ErrorCode code, std::string text) {
    error_ = ReadError{code, std::move(text)};
    header_ = {};
    body_ = {};
    message_ = {};
    message_bytes_ = 0;
    word_heap_bytes_ = 0;
    return false;
}

std::optional<Message> Reader::read_message(std::string_view& bytes) {
    while (!error_ && !bytes.empty()) {
        const bool succeeded =
            position_ == Position::Header ? consume_header(bytes) : consume_body(bytes);
        if (!succeeded) {
            return std::nullopt;
        }
        if (message_complete()) {
            in_message_ = false;
            message_bytes_ = 0;
            word_heap_bytes_ = 0;
            return std::exchange(message_, {});
        }
    }
    return std::nullopt;
}

bool Reader::message_complete() const {
    return in_message_ && position_ == Position::Header && header_.empty() && elements_left_ == 0;
}

bool Reader::consume_header(std::string_view& bytes) {
    if (header_.empty() && !in_message_ && bytes.front() != '*') {
        return fail(ErrorCode::NotAnArray,
                    "expected '*' at the beginning of a message, got byte " +
                        std::to_string(static_cast<unsigned char>(bytes.front())));
    }
    const std::size_t line_end = bytes.find('\n');
    const bool has_line_end = line_end != std::string_view::npos;
    const std::size_t taken = has_line_end ? line_end + 1 : bytes.size();
    if (header_.size() + taken > kMaxHeaderBytes) {
        return fail(ErrorCode::HeaderTooLong,
                    "expected an element header of at most 128 bytes, got more");
    }
    header_.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    message_bytes_ += taken;
    if (message_bytes_ > limits_.message_bytes) {
        return fail(ErrorCode::MessageTooLong, "expected a message of at most " +
                                                   std::to_string(limits_.message_bytes) +
                                                   " bytes, got more");
    }
    if (!has_line_end) {
        return true;
    }
    if (header_.size() <= kLineEndBytes || header_[header_.size() - kLineEndBytes] != '\r') {
        return fail(ErrorCode::BadLineEnd, "expected CR LF at the end of an element header");
    }
    header_.resize(header_.size() - kLineEndBytes);
    const bool succeeded = parse_header();
    if (succeeded) {
        header_.clear();
    }
    return succeeded;
}

bool Reader::parse_header() {
    const auto number = parse_integer(std::string_view(header_).substr(1));
    if (!in_message_) {
        return begin_message(number);
    }
    --elements_left_;
    switch (header_.front()) {
        case '$':
            return begin_string(number);
        case '*':
            return begin_nested_array(number);
        case ':':
        case '+':
        case '-':
            message_.only_strings = false;
            return true;
        default:
            return fail(ErrorCode::UnknownType,
                        "expected an element type ($ * : + -), got byte " +
                            std::to_string(static_cast<unsigned char>(header_.front())));
    }
}

bool Reader::begin_message(std::optional<long long> element_count) {
    in_message_ = true;
    elements_ = 0;
    elements_left_ = 0;
    if (!element_count) {
        return fail(ErrorCode::BadLength, "expected a number as the length of an array");
    }
    return add_elements(*element_count);
}

bool Reader::begin_string(std::optional<long long> length) {
    if (!length || *length < kNullLength) {
        return fail(ErrorCode::BadLength, "expected a number as the length of a string");
    }
    if (*length == kNullLength) {
        message_.only_strings = false;
        return true;
    }
    if (static_cast<unsigned long long>(*length) + kLineEndBytes >
        limits_.message_bytes - message_bytes_) {
        return fail(ErrorCode::MessageTooLong,
                    "expected a message of at most " + std::to_string(limits_.message_bytes) +
                        " bytes, got a string of " + std::to_string(*length) + " bytes");
    }
    body_bytes_left_ = static_cast<std::size_t>(*length);
    position_ = body_bytes_left_ > 0 ? Position::Body : Position::BodyCr;
    return true;
}

bool Reader::begin_nested_array(std::optional<long long> element_count) {
    message_.only_strings = false;
    if (!element_count) {
        return fail(ErrorCode::BadLength, "expected a number as the length of an array");
    }
    return *element_count == kNullLength || add_elements(*element_count);
}

bool Reader::add_elements(long long count) {
    if (count < 0 || static_cast<unsigned long long>(count) > limits_.elements - elements_) {
        return fail(ErrorCode::TooManyElements,
                    "expected 0 to " + std::to_string(limits_.elements) +
                        " elements in a message, got an array of " + std::to_string(count));
    }
    elements_ += static_cast<std::size_t>(count);
    elements_left_ += static_cast<std::size_t>(count);
    return true;
}

bool Reader::consume_body(std::string_view& bytes) {
    if (position_ != Position::Body) {
        return consume_body_end(bytes);
    }
    const std::size_t taken = std::min(body_bytes_left_, bytes.size());
    body_.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    message_bytes_ += taken;
    body_bytes_left_ -= taken;
    if (body_bytes_left_ == 0) {
        position_ = Position::BodyCr;
    }
    return true;
}

// Reads the CR LF after a string; it may arrive in two pieces.
bool Reader::consume_body_end(std::string_view& bytes) {
    const bool expects_cr = position_ == Position::BodyCr;
    if (bytes.front() != (expects_cr ? '\r' : '\n')) {
        return fail(ErrorCode::BadLineEnd, "expected CR LF at the end of a string");
    }
    bytes.remove_prefix(1);
    ++message_bytes_;
    if (expects_cr) {
        position_ = Position::BodyLf;
        return true;
    }
    word_heap_bytes_ += heap_bytes(body_);
    message_.words.push_back(std::exchange(body_, {}));
    position_ = Position::Header;
    return true;
}

void write(std::string& out, const std::vector<std::string>& words) {
    out += "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words) {
        out += "$" + std::to_string(word.size()) + "\r\n";
        out += word;
        out += "\r\n";
    }
}

}  // namespace badgergrade::resp
