// The RESP2 parser: results must not depend on how the bytes are split, malformed messages must be
// rejected, and oversized ones from their header, before their body is buffered.
#include "resp/resp.h"

#include <gtest/gtest.h>

namespace badgergrade::test {
namespace {

struct ReadResult {
    std::vector<resp::Message> messages;
    std::string error;
    std::size_t max_buffered_bytes = 0;
};

// Parses bytes that arrive in pieces of `piece_bytes`; the last one may be shorter.
ReadResult read(std::string_view bytes, std::size_t piece_bytes, resp::Limits limits = {}) {
    ReadResult result;
    resp::Reader reader(limits);
    for (std::size_t offset = 0; offset < bytes.size(); offset += piece_bytes) {
        std::string_view piece = bytes.substr(offset, piece_bytes);
        while (auto message = reader.read_message(piece)) {
            result.messages.push_back(std::move(*message));
        }
        result.max_buffered_bytes = std::max(result.max_buffered_bytes, reader.buffered_bytes());
        if (reader.error()) {
            break;
        }
    }
    result.error = reader.error() ? reader.error()->text : "";
    return result;
}

// Returns a message that has this size on the wire.
std::string message_of_size(std::size_t wire_bytes) {
    // "*1\r\n$N\r\n", N bytes, "\r\n". N must have as many digits as `wire_bytes`.
    const std::size_t body = wire_bytes - 4 - (1 + std::to_string(wire_bytes).size() + 2) - 2;
    std::string out;
    resp::write(out, {std::string(body, 'x')});
    return out;
}

TEST(Resp, ReadsTheSameInPiecesOfAnySize) {
    std::string all;
    resp::write(all, {"ACK", "proxy", "17", "mark", "905", "took_ms", "310.4"});
    resp::write(all, {"PING"});
    resp::write(all, {"LOAD", "empty", "", "line", "a\r\nb"});
    for (const std::size_t piece :
         {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{7}, all.size()}) {
        const ReadResult result = read(all, piece);
        EXPECT_EQ(result.error, "") << piece;
        ASSERT_EQ(result.messages.size(), 3u) << piece;
        EXPECT_EQ(result.messages[0].words, (std::vector<std::string>{"ACK", "proxy", "17", "mark",
                                                                      "905", "took_ms", "310.4"}));
        EXPECT_EQ(result.messages[2].words,
                  (std::vector<std::string>{"LOAD", "empty", "", "line", "a\r\nb"}));
        EXPECT_TRUE(result.messages[2].only_strings);
    }
}

TEST(Resp, EnforcesTheMessageSizeLimit) {
    const resp::Limits limits;
    const std::string largest = message_of_size(limits.message_bytes);
    ASSERT_EQ(largest.size(), limits.message_bytes);
    EXPECT_EQ(read(largest, 65536).messages.size(), 1u);
    const ReadResult too_large = read(message_of_size(limits.message_bytes + 1), 65536);
    EXPECT_TRUE(too_large.messages.empty());
    EXPECT_NE(too_large.error, "");
    EXPECT_LE(too_large.max_buffered_bytes, 200u)
        << "rejected from the header, before the body was buffered";
}

TEST(Resp, RejectsMalformedMessages) {
    for (const char* malformed :
         {"PING\r\n", "GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01\x02\x00", "*-5\r\n", "*x\r\n",
          "*\r\n", "*99999999999999999999\r\n", "*1000000\r\n", "*1\r\n$-2\r\n",
          "*1\r\n$99999999999\r\n", "*1\r\n$1x\r\n", "*1\r\n$3\r\nabcd\r\n", "*1\n",
          "*1\r\n$1\na\r\n", "*2\r\n*4095\r\n", "*1\r\n?3\r\n", "*1\r\n$1\r\nab"}) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{100}}) {
            const ReadResult result = read(malformed, piece);
            EXPECT_TRUE(result.messages.empty()) << malformed;
            EXPECT_NE(result.error, "") << malformed;
        }
    }
}

TEST(Resp, RejectsAHeaderWithoutEnd) {
    const ReadResult result = read("*" + std::string(100000, '1'), 10);
    EXPECT_NE(result.error, "");
    EXPECT_LE(result.max_buffered_bytes, 256u);
}

TEST(Resp, SkipsAndReportsElementsThatAreNotStrings) {
    std::string all = "*4\r\n$3\r\nACK\r\n:17\r\n$-1\r\n*2\r\n+ok\r\n$1\r\nx\r\n";
    resp::write(all, {"PING"});
    const ReadResult result = read(all, 1);
    EXPECT_EQ(result.error, "");
    ASSERT_EQ(result.messages.size(), 2u);
    EXPECT_FALSE(result.messages[0].only_strings);
    EXPECT_TRUE(result.messages[1].only_strings);
    EXPECT_EQ(result.messages[1].words, std::vector<std::string>{"PING"});
}

TEST(Resp, AnEmptyArrayIsAMessageWithoutWords) {
    const ReadResult result = read("*0\r\n", 2);
    ASSERT_EQ(result.messages.size(), 1u);
    EXPECT_TRUE(result.messages[0].words.empty());
}

TEST(Resp, EachErrorHasItsCode) {
    using resp::ErrorCode;

    struct Case {
        const char* bytes;
        ErrorCode code;
    };

    for (const Case& test_case :
         {Case{"PING\r\n", ErrorCode::NotAnArray}, Case{"*1\n", ErrorCode::BadLineEnd},
          Case{"*1\r\n$1\r\nab", ErrorCode::BadLineEnd}, Case{"*x\r\n", ErrorCode::BadLength},
          Case{"*1\r\n$-2\r\n", ErrorCode::BadLength}, Case{"*1\r\n*x\r\n", ErrorCode::BadLength},
          Case{"*-5\r\n", ErrorCode::TooManyElements},
          Case{"*1000000\r\n", ErrorCode::TooManyElements},
          Case{"*1\r\n$99999999999\r\n", ErrorCode::MessageTooLong},
          Case{"*1\r\n?3\r\n", ErrorCode::UnknownType}}) {
        resp::Reader reader;
        std::string_view bytes = test_case.bytes;
        EXPECT_FALSE(reader.read_message(bytes)) << test_case.bytes;
        ASSERT_TRUE(reader.error()) << test_case.bytes;
        EXPECT_EQ(reader.error()->code, test_case.code) << test_case.bytes;
    }
    resp::Reader endless;
    const std::string header = "*" + std::string(1000, '1');
    std::string_view bytes = header;
    EXPECT_FALSE(endless.read_message(bytes));
    ASSERT_TRUE(endless.error());
    EXPECT_EQ(endless.error()->code, ErrorCode::HeaderTooLong);
}

}  // namespace
}  // namespace badgergrade::test
