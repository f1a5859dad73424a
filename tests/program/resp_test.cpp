// RESP2 messages: what is read must not depend on the pieces, and what can't be read is refused
// from its head.
#include "resp/resp.h"

#include <gtest/gtest.h>

namespace badgergrade::test {
namespace {

struct Got {
    std::vector<resp::Message> messages;
    std::string error;
    std::size_t held_most = 0;
};

Got read(std::string_view all, std::size_t piece, resp::Limits limits = {}) {
    Got got;
    resp::Reader reader(limits);
    for (std::size_t at = 0; at < all.size(); at += piece) {
        std::string_view bytes = all.substr(at, piece);
        while (auto message = reader.next(bytes)) {
            got.messages.push_back(std::move(*message));
        }
        got.held_most = std::max(got.held_most, reader.held());
        if (!reader.error().empty()) {
            break;
        }
    }
    got.error = reader.error();
    return got;
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
        const Got got = read(all, piece);
        EXPECT_EQ(got.error, "") << piece;
        ASSERT_EQ(got.messages.size(), 3u) << piece;
        EXPECT_EQ(got.messages[0].words, (std::vector<std::string>{"ACK", "proxy", "17", "mark",
                                                                   "905", "took_ms", "310.4"}));
        EXPECT_EQ(got.messages[2].words,
                  (std::vector<std::string>{"LOAD", "empty", "", "line", "a\r\nb"}));
        EXPECT_TRUE(got.messages[2].plain);
    }
}

TEST(Resp, TakesAMessageOfTheLimitAndNotAByteMore) {
    const resp::Limits limits;
    const std::string most = message_of(limits.message_bytes);
    ASSERT_EQ(most.size(), limits.message_bytes);
    EXPECT_EQ(read(most, 65536).messages.size(), 1u);
    const Got more = read(message_of(limits.message_bytes + 1), 65536);
    EXPECT_TRUE(more.messages.empty());
    EXPECT_NE(more.error, "");
    EXPECT_LE(more.held_most, 200u) << "refused from the head, before the body was kept";
}

TEST(Resp, RefusesWhatIsNoMessage) {
    for (const char* wrong :
         {"PING\r\n", "GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01\x02\x00", "*-5\r\n", "*x\r\n",
          "*\r\n", "*99999999999999999999\r\n", "*1000000\r\n", "*1\r\n$-2\r\n",
          "*1\r\n$99999999999\r\n", "*1\r\n$1x\r\n", "*1\r\n$3\r\nabcd\r\n", "*1\n",
          "*1\r\n$1\na\r\n", "*2\r\n*4095\r\n", "*1\r\n?3\r\n", "*1\r\n$1\r\nab"}) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{100}}) {
            const Got got = read(wrong, piece);
            EXPECT_TRUE(got.messages.empty()) << wrong;
            EXPECT_NE(got.error, "") << wrong;
        }
    }
}

TEST(Resp, AHeadWithoutEndIsRefusedSoon) {
    const Got got = read("*" + std::string(100000, '1'), 10);
    EXPECT_NE(got.error, "");
    EXPECT_LE(got.held_most, 256u);
}

TEST(Resp, ReadsOverElementsThatAreNoStringsAndTellsSo) {
    std::string all = "*4\r\n$3\r\nACK\r\n:17\r\n$-1\r\n*2\r\n+ok\r\n$1\r\nx\r\n";
    resp::write(all, {"PING"});
    const Got got = read(all, 1);
    EXPECT_EQ(got.error, "");
    ASSERT_EQ(got.messages.size(), 2u);
    EXPECT_FALSE(got.messages[0].plain);
    EXPECT_TRUE(got.messages[1].plain);
    EXPECT_EQ(got.messages[1].words, std::vector<std::string>{"PING"});
}

TEST(Resp, AnEmptyArrayIsAMessageWithoutWords) {
    const Got got = read("*0\r\n", 2);
    ASSERT_EQ(got.messages.size(), 1u);
    EXPECT_TRUE(got.messages[0].words.empty());
}

}  // namespace
}  // namespace badgergrade::test
