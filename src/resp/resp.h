/// An incremental parser and a writer for RESP2 (the Redis serialization protocol), independent of
/// sockets: bytes in, complete messages out, and strings back into bytes.
///
/// Written by hand because no library offers the server side of RESP without its own socket loop;
/// covered by a fuzz test. An array or string over the limits is rejected when its header arrives,
/// before its body is read: the memory used is bounded by the limits, never by the lengths that a
/// peer announces.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace badgergrade::resp {

/// Limits of one message.
struct Limits {
    std::size_t message_bytes = 1024 * 1024;  ///< bytes on the wire, headers and CR LF included
    std::size_t elements = 4096;              ///< elements, nested ones included
};

/// One complete message.
struct Message {
    /// The bulk strings, in order.
    std::vector<std::string> words;
    /// False if the message is well-formed but contains elements other than bulk strings (numbers,
    /// simple strings, errors, nulls, nested arrays). These elements are not in `words`.
    bool only_strings = true;
};

enum class ErrorCode {
    NotAnArray,       ///< The message does not begin with an array.
    HeaderTooLong,    ///< An element header (type and length) without a line end.
    BadLineEnd,       ///< A header or a string is not followed by CR LF.
    BadLength,        ///< The length of an array or a string is not a number.
    TooManyElements,  ///< More elements than the limit, or a negative number of elements.
    MessageTooLong,   ///< More bytes than the limit.
    UnknownType,      ///< An element of a type that RESP2 does not have.
};

/// A violation of the protocol or of a limit.
struct ReadError {
    ErrorCode code;
    std::string text;  ///< description for the log and the peer
};

/// Parses messages from bytes that arrive in pieces of any size.
///
/// After an error the rest of the stream can't be parsed, because it is not known where the next
/// message begins: the caller must close the connection.
class Reader {
public:
    explicit Reader(Limits limits = {}) : limits_(limits) {}

    /// Consumes bytes from the front of `bytes` until a message is complete. Returns nothing if the
    /// bytes end before that, or on an error: error() is then set, and no more bytes may be passed.
    std::optional<Message> read_message(std::string_view& bytes);

    /// The first error, which is permanent.
    const std::optional<ReadError>& error() const { return error_; }

    /// Bytes of the incomplete message read so far.
    std::size_t buffered_bytes() const { return message_bytes_; }

    /// Memory that the incomplete message occupies. A word takes more than its bytes on the wire:
    /// an empty one six there, and the size of a std::string here.
    std::size_t held_bytes() const;

    /// Changes the limits for the bytes that follow.
    void set_limits(Limits limits) { limits_ = limits; }

private:
    /// The part of an element that the next byte belongs to.
    enum class Position { Header, Body, BodyCr, BodyLf };

    // These functions return false on an error.
    bool consume_header(std::string_view& bytes);
    bool consume_body(std::string_view& bytes);
    bool consume_body_end(std::string_view& bytes);
    bool parse_header();
    bool begin_message(std::optional<long long> element_count);
    bool begin_string(std::optional<long long> length);
    bool begin_nested_array(std::optional<long long> element_count);
    bool add_elements(long long count);
    bool message_complete() const;
    bool fail(ErrorCode code, std::string text);

    Limits limits_;
    Position position_ = Position::Header;
    std::string header_;               // received part of the current element's header
    std::string body_;                 // received part of the current string
    std::size_t body_bytes_left_ = 0;  // missing bytes of the current string
    std::size_t elements_ = 0;         // announced elements of the current message
    std::size_t elements_left_ = 0;    // announced elements that have not been read
    std::size_t message_bytes_ = 0;    // bytes of the current message read so far
    std::size_t word_heap_bytes_ = 0;  // memory of the words that is not in message_.words itself
    bool in_message_ = false;
    Message message_;
    std::optional<ReadError> error_;
};

/// Appends a message, an array of bulk strings, to `out`.
void write(std::string& out, const std::vector<std::string>& words);

}  // namespace badgergrade::resp
