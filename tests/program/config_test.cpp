// Settings: every mistake with file, line, key and what would be right.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "config/instance_config.h"

namespace badgergrade::test {
namespace {

using namespace std::chrono_literals;

std::string example() {
    std::ifstream in(BADGERGRADE_SOURCE "/examples/governor.ini");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::vector<std::string> mistakes_in(const std::string& text) {
    std::vector<config::ConfigError> mistakes;
    const auto file = config::IniFile::parse("g.ini", text, mistakes);
    config::read_instance_config(file, mistakes);
    std::vector<std::string> out;
    for (const auto& mistake : mistakes) {
        out.push_back(config::to_text(mistake));
    }
    return out;
}

std::string replaced(const std::string& from, const std::string& to) {
    std::string text = example();
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

TEST(Settings, TheExampleIsGood) {
    const auto mistakes = mistakes_in(example());
    EXPECT_TRUE(mistakes.empty()) << mistakes.front();
}

struct Case {
    const char* from;
    const char* to;
    const char* says;
};

TEST(Settings, TellWhatIsWrongAndWhatWouldBeRight) {
    const Case cases[] = {
        {"lines_per_second = 14000", "lines_per_secnd = 14000", "did you mean lines_per_second?"},
        {"drain_grace = 3 s", "drain_grace = 3", "write 3 ms or 3 s"},
        {"drain_grace = 3 s", "drain_grace = 3 sec", "'sec' is no unit of time"},
        {"drain_grace = 3 s", "drain_grace = 5 us", "out of range: 100 ms to 3600 s"},
        {"count = 20", "count = many", "'many' is no number"},
        {"count = 20", "count = 2.5", "whole number"},
        {"pick = two", "pick = tow", "did you mean two?"},
        {"gone_may_stay = no", "gone_may_stay = maybe", "neither yes nor no"},
        {"zone = bang-na", "zone = nowhere", "none of the zones"},
        {"zones = bang-na, lat-krabang", "zones = bang-na, bang-na", "stands twice"},
        {"listen = 127.0.0.1:18000", "listen = 18000", "host:port"},
        {"[channel]", "[chanel]", "did you mean channel?"},
        {"latency_objective = 800 ms", "latency_objective = 8 s",
         "longer than integration_timeout"},
        {"further_tries = after-proof", "further_tries = once", "side-effecting"},
        {"way_mean = 200 ms", "way_mean = 2 s", "longer than way_most"},
        {"effect = idempotent", "effect = harmless", "not one of"},
        {"effect = idempotent", "", "is missing; for example: effect = side-effecting"},
        {"ordinal = 0", "ordinal = 3", "stays under governors"},
        {"seed = 1 ", "seed = 1\nseed = 2 ", "stands already in line"},
        {"[log]", "what is this\n[log]", "neither a [section]"},
    };
    for (const auto& one : cases) {
        const auto told = mistakes_in(replaced(one.from, one.to));
        ASSERT_FALSE(told.empty()) << one.to;
        bool found = false;
        for (const auto& text : told) {
            found = found || text.find(one.says) != std::string::npos;
        }
        EXPECT_TRUE(found) << one.to << " -> " << told.front();
        EXPECT_EQ(told.front().rfind("g.ini", 0), 0u) << told.front();
    }
}

// With 6 messages in 10 s removals are merged over 3.3 s: past a grace of 3 s (found by replaying
// cold-return.day).
TEST(Settings, RefuseMessagesTooFewForTheGrace) {
    for (const char* few : {"messages_most = 6 ", "messages_most = 9 "}) {
        const auto mistakes = mistakes_in(replaced("messages_most = 20", few));
        ASSERT_EQ(mistakes.size(), 1u) << few;
        EXPECT_NE(mistakes[0].find("at least 10 messages"), std::string::npos) << mistakes[0];
    }
    EXPECT_TRUE(mistakes_in(replaced("messages_most = 20", "messages_most = 10 ")).empty());
    EXPECT_TRUE(mistakes_in(replaced("messages_most = 20", "messages_most = 0 ")).size() <=
                1);  // no limit: its window says nothing
    EXPECT_NE(mistakes_in(replaced("drain_grace = 3 s", "drain_grace = 800 ms"))
                  .at(0)
                  .find("a grace longer than way_most"),
              std::string::npos);
}

TEST(Settings, TellTheLine) {
    const auto told = mistakes_in(
        "[governor]\nzones = a\n\n[operation.x]\nlatency_objective = 1 s\nintegration_timeout = 2 "
        "s\n"
        "effect = idempotent\n[forwarders]\ncount = 0\n");
    ASSERT_EQ(told.size(), 1u) << told.front();
    EXPECT_EQ(told.front(), "g.ini:9: [forwarders] count: 0 is out of range: 1 to 65535");
}

TEST(Settings, ReadTimesToTheMicrosecond) {
    std::string why;
    EXPECT_EQ(config::parse_time("1.5 ms", why), 1500us);
    EXPECT_EQ(config::parse_time("2min", why), 120s);
    EXPECT_EQ(config::parse_time("0.0001 ms", why), std::nullopt);
    EXPECT_EQ(config::parse_time("nan s", why), std::nullopt);
    EXPECT_EQ(config::parse_time("1e40 s", why), std::nullopt);
    EXPECT_EQ(config::parse_time("", why), std::nullopt);
}

TEST(Settings, SurviveAnyBytes) {
    std::string text = example();
    for (std::size_t k = 0; k < text.size(); k += 7) {
        std::string hurt = text;
        hurt[k] = static_cast<char>(k * 31);
        mistakes_in(hurt);
        mistakes_in(text.substr(0, k));
    }
    mistakes_in(std::string(100000, '['));
    mistakes_in("[governor]\nzones = " + std::string(500, 'z') + "\n");
}

}  // namespace
}  // namespace badgergrade::test
