// RESP2 messages without sockets: bytes in, whole messages out, and words back into bytes.
//
// A server's side of RESP that owns no socket loop is in no library; so this is ours, small and
// fuzzed. What is refused is refused from a head alone, before what it announces is taken in:
// memory is bounded by the limits, never by what a peer claims.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace badgergrade::resp {

struct Limits {
    std::size_t message_bytes = 1024 * 1024;  // on the wire, heads and line ends included
    std::size_t elements = 4096;              // of one message, nested ones counted too
};

struct Message {
    std::vector<std::string> words;
    // False where the frame could be read but holds something other than bulk strings (numbers,
    // nulls, nested arrays).
    bool plain = true;
};

class Reader {
public:
    explicit Reader(Limits limits = {}) : limits_(limits) {}

    // Takes bytes off the front of `bytes` until a message is whole; nothing where they are used up
    // first, or where they can't be read: then error() says why, and no more may be fed.
    std::optional<Message> next(std::string_view& bytes);

    const std::string& error() const { return error_; }

    // Bytes of an unfinished message that are kept.
    std::size_t held() const { return message_bytes_; }

    void set_limits(Limits limits) { limits_ = limits; }

private:
    enum class At { Head, Body, BodyCr, BodyLf };
    bool take_head(std::string_view& bytes);
    bool take_body(std::string_view& bytes);
    bool read_head();
    bool open_array(long long count);
    bool fail(std::string why);

    Limits limits_;
    At at_ = At::Head;
    std::string head_;
    std::string body_;
    std::size_t body_left_ = 0, elements_left_ = 0, elements_ = 0, message_bytes_ = 0;
    bool in_message_ = false;
    Message now_;
    std::string error_;
};

// Appends an array of bulk strings.
void write(std::string& out, const std::vector<std::string>& words);

}  // namespace badgergrade::resp
