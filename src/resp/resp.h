/// RESP2 messages without sockets: bytes in, complete messages out, and words back into bytes.
///
/// A server's side of RESP that owns no socket loop is in no library; this one is small and fuzzed.
/// What is too large is refused from its head alone, before its body is read: memory is bounded by
/// the limits, never by what a peer announces.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace badgergrade::resp {

/// What one message may take.
struct Limits {
    std::size_t message_bytes = 1024 * 1024;  ///< On the wire, heads and line ends included.
    std::size_t elements = 4096;              ///< Of one message, nested ones counted too.
};

/// One complete message.
struct Message {
    /// Its bulk strings, in order.
    std::vector<std::string> words;
    /// False where the frame could be read but holds something other than bulk strings (numbers,
    /// nulls, nested arrays), which `words` leaves out.
    bool only_strings = true;
};

enum class ErrorCode {
    NotAnArray,       ///< The message does not begin with an array.
    HeadTooLong,      ///< A line that gives a kind and a length has no end.
    BadLineEnd,       ///< A head or a string is not followed by CR LF.
    BadLength,        ///< The length of an array or a string is no number.
    TooManyElements,  ///< More elements than the limit, or fewer than none.
    MessageTooLong,   ///< More bytes than the limit.
    UnknownKind,      ///< An element of a kind that RESP2 does not have.
};

/// Why bytes can't be read.
struct ReadError {
    ErrorCode code;
    std::string text;  ///< In plain words, for the log and the peer.
};

/// Reads messages from bytes that arrive in pieces of any size.
///
/// After an error nothing that follows can be trusted, since it is not known where the next message
/// begins: the connection is to be ended.
class Reader {
public:
    explicit Reader(Limits limits = {}) : limits_(limits) {}

    /// Takes bytes off the front of `bytes` until a message is complete. Nothing where the bytes
    /// are used up first, or where they can't be read: then error() says why, and no more bytes may
    /// be handed in.
    std::optional<Message> read_message(std::string_view& bytes);

    /// Set for good once bytes could not be read.
    const std::optional<ReadError>& error() const { return error_; }

    /// Bytes of the unfinished message.
    std::size_t buffered_bytes() const { return message_bytes_; }

    /// Takes effect on the bytes that follow.
    void set_limits(Limits limits) { limits_ = limits; }

private:
    /// Which part of an element the next byte belongs to.
    enum class Position { Head, Body, BodyCr, BodyLf };

    // These return false where the bytes can't be read.
    bool consume_head(std::string_view& bytes);
    bool consume_body(std::string_view& bytes);
    bool consume_body_end(std::string_view& bytes);
    bool parse_head();
    bool begin_message(std::optional<long long> element_count);
    bool begin_string(std::optional<long long> length);
    bool begin_nested_array(std::optional<long long> element_count);
    bool add_elements(long long count);
    bool message_complete() const;
    bool fail(ErrorCode code, std::string text);

    Limits limits_;
    Position position_ = Position::Head;
    std::string head_;                 // of the current element, as far as it has come
    std::string body_;                 // of the current string, as far as it has come
    std::size_t body_bytes_left_ = 0;  // of the current string
    std::size_t elements_ = 0;         // of the current message, as announced so far
    std::size_t elements_left_ = 0;    // of these, not read yet
    std::size_t message_bytes_ = 0;    // of the current message, read so far
    bool in_message_ = false;
    Message message_;
    std::optional<ReadError> error_;
};

/// Appends a message of bulk strings to `out`.
void write(std::string& out, const std::vector<std::string>& words);

}  // namespace badgergrade::resp
