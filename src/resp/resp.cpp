#include "resp/resp.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace badgergrade::resp {

namespace {
// A kind, a sign, 19 digits, CR and LF; simple strings and errors inside a message may be a little
// longer.
constexpr std::size_t kHeadMost = 128;

std::optional<long long> whole(std::string_view text) {
    long long value = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (wrong != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}
}  // namespace

bool Reader::fail(std::string why) {
    error_ = std::move(why);
    head_ = {};
    body_ = {};
    now_ = {};
    message_bytes_ = 0;
    return false;
}

std::optional<Message> Reader::next(std::string_view& bytes) {
    while (error_.empty() && !bytes.empty()) {
        const bool good = at_ == At::Head ? take_head(bytes) : take_body(bytes);
        if (!good) {
            return std::nullopt;
        }
        if (in_message_ && at_ == At::Head && head_.empty() && elements_left_ == 0) {
            in_message_ = false;
            message_bytes_ = 0;
            return std::exchange(now_, {});
        }
    }
    return std::nullopt;
}

bool Reader::take_head(std::string_view& bytes) {
    if (head_.empty() && !in_message_ && bytes.front() != '*') {
        return fail("a message begins with '*', this one with byte " +
                    std::to_string(static_cast<unsigned char>(bytes.front())));
    }
    const std::size_t end = bytes.find('\n');
    const std::size_t part = end == std::string_view::npos ? bytes.size() : end + 1;
    if (head_.size() + part > kHeadMost) {
        return fail("a head has no end");
    }
    head_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    message_bytes_ += part;
    if (message_bytes_ > limits_.message_bytes) {
        return fail("the message is too long");
    }
    if (end == std::string_view::npos) {
        return true;
    }
    if (head_.size() < 3 || head_[head_.size() - 2] != '\r') {
        return fail("a head ends without CR LF");
    }
    head_.resize(head_.size() - 2);
    const bool good = read_head();
    if (good) {
        head_.clear();
    }
    return good;
}

bool Reader::open_array(long long count) {
    if (count < 0 || static_cast<unsigned long long>(count) > limits_.elements - elements_) {
        return fail("an array of " + std::to_string(count) + " elements");
    }
    elements_ += static_cast<std::size_t>(count);
    elements_left_ += static_cast<std::size_t>(count);
    return true;
}

bool Reader::read_head() {
    const char kind = head_.front();
    const auto number = whole(std::string_view(head_).substr(1));
    if (!in_message_) {
        in_message_ = true;
        elements_ = 0;
        elements_left_ = 0;
        return number ? open_array(*number) : fail("an array's length is no number");
    }
    --elements_left_;
    switch (kind) {
        case '$':
            if (!number || *number < -1) {
                return fail("a string's length is no number");
            }
            if (*number == -1) {
                now_.plain = false;
                return true;
            }
            if (static_cast<unsigned long long>(*number) + 2 >
                limits_.message_bytes - message_bytes_) {
                return fail("the message is too long: a string of " + std::to_string(*number) +
                            " bytes");
            }
            body_left_ = static_cast<std::size_t>(*number);
            at_ = body_left_ > 0 ? At::Body : At::BodyCr;
            return true;
        case '*':
            now_.plain = false;
            if (!number) {
                return fail("an array's length is no number");
            }
            return *number == -1 || open_array(*number);
        case ':':
        case '+':
        case '-':
            now_.plain = false;
            return true;
        default:
            return fail("an element of unknown kind");
    }
}

bool Reader::take_body(std::string_view& bytes) {
    if (at_ == At::Body) {
        const std::size_t part = std::min(body_left_, bytes.size());
        body_.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
        message_bytes_ += part;
        body_left_ -= part;
        if (body_left_ == 0) {
            at_ = At::BodyCr;
        }
        return true;
    }
    // CR and LF may come in two pieces.
    const bool cr = at_ == At::BodyCr;
    if (bytes.front() != (cr ? '\r' : '\n')) {
        return fail("a string ends without CR LF");
    }
    bytes.remove_prefix(1);
    ++message_bytes_;
    if (cr) {
        at_ = At::BodyLf;
        return true;
    }
    now_.words.push_back(std::exchange(body_, {}));
    at_ = At::Head;
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
