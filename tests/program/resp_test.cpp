// RESP2 messages: what is read must not depend on the pieces, and what can't be read is refused
// from its head.
#include "resp/resp.h"

#include <gtest/gtest.h>

namespace badgergrade::test {
namespace {

struct ReadResult {
    std::vector<resp::Message> messages;
    std::string error;
    std::size_t max_buffered_bytes = 0;
};

ReadResult read(std::string_view all, std::size_t piece, resp::Limits limits = {}) {
    ReadResult result;
    resp::Reader reader(limits);
    for (std::size_t at = 0; at < all.size(); at += piece) {
        std::string_view bytes = all.substr(at, piece);
        while (auto message = reader.read_message(bytes)) {
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

std::string message_of(std::size_t wire_bytes) {
    // "*1\r\n$N\r\n" + N + "\r\n"
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

TEST(Resp, TakesAMessageOfTheLimitAndNotAByteMore) {
    const resp::Limits limits;
    const std::string most = message_of(limits.message_bytes);
    ASSERT_EQ(most.size(), limits.message_bytes);
    EXPECT_EQ(read(most, 65536).messages.size(), 1u);
    const ReadResult more = read(message_of(limits.message_bytes + 1), 65536);
    EXPECT_TRUE(more.messages.empty());
    EXPECT_NE(more.error, "");
    EXPECT_LE(more.max_buffered_bytes, 200u) << "refused from the head, before the body was kept";
}

TEST(Resp, RefusesWhatIsNoMessage) {
    for (const char* wrong :
         {"PING\r\n", "GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01\x02\x00", "*-5\r\n", "*x\r\n",
          "*\r\n", "*99999999999999999999\r\n", "*1000000\r\n", "*1\r\n$-2\r\n",
          "*1\r\n$99999999999\r\n", "*1\r\n$1x\r\n", "*1\r\n$3\r\nabcd\r\n", "*1\n",
          "*1\r\n$1\na\r\n", "*2\r\n*4095\r\n", "*1\r\n?3\r\n", "*1\r\n$1\r\nab"}) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{100}}) {
            const ReadResult result = read(wrong, piece);
            EXPECT_TRUE(result.messages.empty()) << wrong;
            EXPECT_NE(result.error, "") << wrong;
        }
    }
}

TEST(Resp, AHeadWithoutEndIsRefusedSoon) {
    const ReadResult result = read("*" + std::string(100000, '1'), 10);
    EXPECT_NE(result.error, "");
    EXPECT_LE(result.max_buffered_bytes, 256u);
}

TEST(Resp, ReadsOverElementsThatAreNoStringsAndTellsSo) {
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

TEST(Resp, EachFailureHasItsCode) {
    using resp::ErrorCode;

    struct Case {
        const char* bytes;
        ErrorCode code;
    };

    for (const Case& one :
         {Case{"PING\r\n", ErrorCode::NotAnArray}, Case{"*1\n", ErrorCode::BadLineEnd},
          Case{"*1\r\n$1\r\nab", ErrorCode::BadLineEnd}, Case{"*x\r\n", ErrorCode::BadLength},
          Case{"*1\r\n$-2\r\n", ErrorCode::BadLength}, Case{"*1\r\n*x\r\n", ErrorCode::BadLength},
          Case{"*-5\r\n", ErrorCode::TooManyElements},
          Case{"*1000000\r\n", ErrorCode::TooManyElements},
          Case{"*1\r\n$99999999999\r\n", ErrorCode::MessageTooLong},
          Case{"*1\r\n?3\r\n", ErrorCode::UnknownKind}}) {
        resp::Reader reader;
        std::string_view bytes = one.bytes;
        EXPECT_FALSE(reader.read_message(bytes)) << one.bytes;
        ASSERT_TRUE(reader.error()) << one.bytes;
        EXPECT_EQ(reader.error()->code, one.code) << one.bytes;
    }
    resp::Reader endless;
    const std::string head = "*" + std::string(1000, '1');
    std::string_view bytes = head;
    EXPECT_FALSE(endless.read_message(bytes));
    ASSERT_TRUE(endless.error());
    EXPECT_EQ(endless.error()->code, ErrorCode::HeadTooLong);
}

}  // namespace
}  // namespace badgergrade::test
