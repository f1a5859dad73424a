#include "resp/resp.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace badgergrade::resp {

namespace {

/// Longest head, in bytes: a kind, a sign, 19 digits, CR and LF; simple strings and errors inside a
/// message may be a little longer.
constexpr std::size_t kMaxHeadBytes = 128;
/// CR and LF.
constexpr std::size_t kLineEndBytes = 2;
/// The length that stands for a null string or array.
constexpr long long kNullLength = -1;

std::optional<long long> parse_integer(std::string_view text) {
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

}  // namespace

bool Reader::fail(ErrorCode code, std::string text) {
    error_ = ReadError{code, std::move(text)};
    head_ = {};
    body_ = {};
    message_ = {};
    message_bytes_ = 0;
    return false;
}

std::optional<Message> Reader::read_message(std::string_view& bytes) {
    while (!error_ && !bytes.empty()) {
        const bool readable =
            position_ == Position::Head ? consume_head(bytes) : consume_body(bytes);
        if (!readable) {
            return std::nullopt;
        }
        if (message_complete()) {
            in_message_ = false;
            message_bytes_ = 0;
            return std::exchange(message_, {});
        }
    }
    return std::nullopt;
}

bool Reader::message_complete() const {
    return in_message_ && position_ == Position::Head && head_.empty() && elements_left_ == 0;
}

bool Reader::consume_head(std::string_view& bytes) {
    if (head_.empty() && !in_message_ && bytes.front() != '*') {
        return fail(ErrorCode::NotAnArray,
                    "a message begins with '*', this one with byte " +
                        std::to_string(static_cast<unsigned char>(bytes.front())));
    }
    const std::size_t line_end = bytes.find('\n');
    const bool line_complete = line_end != std::string_view::npos;
    const std::size_t taken = line_complete ? line_end + 1 : bytes.size();
    if (head_.size() + taken > kMaxHeadBytes) {
        return fail(ErrorCode::HeadTooLong, "a head has no end");
    }
    head_.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    message_bytes_ += taken;
    if (message_bytes_ > limits_.message_bytes) {
        return fail(ErrorCode::MessageTooLong, "the message is too long");
    }
    if (!line_complete) {
        return true;
    }
    if (head_.size() <= kLineEndBytes || head_[head_.size() - kLineEndBytes] != '\r') {
        return fail(ErrorCode::BadLineEnd, "a head ends without CR LF");
    }
    head_.resize(head_.size() - kLineEndBytes);
    const bool readable = parse_head();
    if (readable) {
        head_.clear();
    }
    return readable;
}

bool Reader::parse_head() {
    const auto number = parse_integer(std::string_view(head_).substr(1));
    if (!in_message_) {
        return begin_message(number);
    }
    --elements_left_;
    switch (head_.front()) {
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
            return fail(ErrorCode::UnknownKind, "an element of unknown kind");
    }
}

bool Reader::begin_message(std::optional<long long> element_count) {
    in_message_ = true;
    elements_ = 0;
    elements_left_ = 0;
    if (!element_count) {
        return fail(ErrorCode::BadLength, "an array's length is no number");
    }
    return add_elements(*element_count);
}

bool Reader::begin_string(std::optional<long long> length) {
    if (!length || *length < kNullLength) {
        return fail(ErrorCode::BadLength, "a string's length is no number");
    }
    if (*length == kNullLength) {
        message_.only_strings = false;
        return true;
    }
    if (static_cast<unsigned long long>(*length) + kLineEndBytes >
        limits_.message_bytes - message_bytes_) {
        return fail(ErrorCode::MessageTooLong,
                    "the message is too long: a string of " + std::to_string(*length) + " bytes");
    }
    body_bytes_left_ = static_cast<std::size_t>(*length);
    position_ = body_bytes_left_ > 0 ? Position::Body : Position::BodyCr;
    return true;
}

bool Reader::begin_nested_array(std::optional<long long> element_count) {
    message_.only_strings = false;
    if (!element_count) {
        return fail(ErrorCode::BadLength, "an array's length is no number");
    }
    return *element_count == kNullLength || add_elements(*element_count);
}

bool Reader::add_elements(long long count) {
    if (count < 0 || static_cast<unsigned long long>(count) > limits_.elements - elements_) {
        return fail(ErrorCode::TooManyElements,
                    "an array of " + std::to_string(count) + " elements");
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

// CR and LF may arrive in two pieces.
bool Reader::consume_body_end(std::string_view& bytes) {
    const bool expects_cr = position_ == Position::BodyCr;
    if (bytes.front() != (expects_cr ? '\r' : '\n')) {
        return fail(ErrorCode::BadLineEnd, "a string ends without CR LF");
    }
    bytes.remove_prefix(1);
    ++message_bytes_;
    if (expects_cr) {
        position_ = Position::BodyLf;
        return true;
    }
    message_.words.push_back(std::exchange(body_, {}));
    position_ = Position::Head;
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
