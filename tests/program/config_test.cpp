// The INI configuration: every error must name file, line, key, the value found and a valid one.
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

std::vector<std::string> errors_in(const std::string& text) {
    std::vector<config::ConfigError> errors;
    const auto file = config::IniFile::parse("g.ini", text, errors);
    config::read_instance_config(file, errors);
    std::vector<std::string> out;
    for (const auto& error : errors) {
        out.push_back(config::to_text(error));
    }
    return out;
}

// The example with one text replaced.
std::string example_with(const std::string& from, const std::string& to) {
    std::string text = example();
    const auto position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return text.replace(position, from.size(), to);
}

TEST(Settings, ExampleIsValid) {
    const auto errors = errors_in(example());
    EXPECT_TRUE(errors.empty()) << errors.front();
}

struct Case {
    const char* from;
    const char* to;
    const char* expected_error;
};

TEST(Settings, ErrorsNameTheFaultAndAValidValue) {
    const Case cases[] = {
        {"lines_per_second = 14000", "lines_per_secnd = 14000", "did you mean lines_per_second?"},
        {"drain_grace = 3 s", "drain_grace = 3", "write 3 ms or 3 s"},
        {"drain_grace = 3 s", "drain_grace = 3 sec",
         "expected a unit of time (us, ms, s, min, h), got 'sec'"},
        {"drain_grace = 3 s", "drain_grace = 5 us", "expected 100 ms to 3600 s, got 5 us"},
        {"count = 20", "count = many", "expected a number, got 'many'"},
        {"count = 20", "count = 2.5", "expected an integer, got 2.5"},
        {"pick = two", "pick = tow", "did you mean two?"},
        {"gone_may_stay = no", "gone_may_stay = maybe", "expected yes or no, got 'maybe'"},
        {"zone = bang-na", "zone = nowhere", "expected one of [governor] zones, got 'nowhere'"},
        {"zones = bang-na, lat-krabang", "zones = bang-na, bang-na", "'bang-na' is listed twice"},
        {"listen = 127.0.0.1:18000", "listen = 18000", "host:port"},
        {"[channel]", "[chanel]", "did you mean channel?"},
        {"latency_objective = 800 ms", "latency_objective = 8 s",
         "longer than integration_timeout"},
        {"further_tries = after-proof", "further_tries = once", "side-effecting"},
        {"way_mean = 200 ms", "way_mean = 2 s", "longer than way_most"},
        {"effect = idempotent", "effect = harmless", "not one of"},
        {"effect = idempotent", "", "is missing; for example: effect = side-effecting"},
        {"ordinal = 0", "ordinal = 3", "expected 0 to governors - 1, got 3"},
        {"seed = 1 ", "seed = 1\nseed = 2 ", "is already set in line"},
        {"[log]", "what is this\n[log]", "expected [section], key = value or a comment"},
    };
    for (const auto& test_case : cases) {
        const auto errors = errors_in(example_with(test_case.from, test_case.to));
        ASSERT_FALSE(errors.empty()) << test_case.to;
        bool found = false;
        for (const auto& text : errors) {
            found = found || text.find(test_case.expected_error) != std::string::npos;
        }
        EXPECT_TRUE(found) << test_case.to << " -> " << errors.front();
        EXPECT_EQ(errors.front().rfind("g.ini", 0), 0u) << errors.front();
    }
}

// With 6 messages in 10 s, removals of servers are delayed by up to 3.3 s, longer than the drain
// grace of 3 s (found by replaying cold-return.day).
TEST(Settings, TooFewMessagesForTheDrainGraceAreRejected) {
    for (const char* few : {"messages_most = 6 ", "messages_most = 9 "}) {
        const auto errors = errors_in(example_with("messages_most = 20", few));
        ASSERT_EQ(errors.size(), 1u) << few;
        EXPECT_NE(errors[0].find("at least 10 messages"), std::string::npos) << errors[0];
    }
    EXPECT_TRUE(errors_in(example_with("messages_most = 20", "messages_most = 10 ")).empty());
    EXPECT_TRUE(errors_in(example_with("messages_most = 20", "messages_most = 0 ")).size() <=
                1);  // no limit: the window has no effect
    EXPECT_NE(errors_in(example_with("drain_grace = 3 s", "drain_grace = 800 ms"))
                  .at(0)
                  .find("a grace longer than way_most"),
              std::string::npos);
}

TEST(Settings, ErrorsNameTheLine) {
    const auto errors = errors_in(
        "[governor]\nzones = a\n\n[operation.x]\nlatency_objective = 1 s\nintegration_timeout = 2 "
        "s\n"
        "effect = idempotent\n[forwarders]\ncount = 0\n");
    ASSERT_EQ(errors.size(), 1u) << errors.front();
    EXPECT_EQ(errors.front(), "g.ini:9: [forwarders] count: expected 1 to 65535, got 0");
}

TEST(Settings, TimesAreReadToTheMicrosecond) {
    std::string error;
    EXPECT_EQ(config::parse_time("1.5 ms", error), 1500us);
    EXPECT_EQ(config::parse_time("2min", error), 120s);
    EXPECT_EQ(config::parse_time("0.0001 ms", error), std::nullopt);
    EXPECT_EQ(config::parse_time("nan s", error), std::nullopt);
    EXPECT_EQ(config::parse_time("1e40 s", error), std::nullopt);
    EXPECT_EQ(config::parse_time("", error), std::nullopt);
}

TEST(Settings, AnyBytesAreHandledWithoutACrash) {
    std::string text = example();
    for (std::size_t k = 0; k < text.size(); k += 7) {
        std::string damaged = text;
        damaged[k] = static_cast<char>(k * 31);
        errors_in(damaged);
        errors_in(text.substr(0, k));
    }
    errors_in(std::string(100000, '['));
    errors_in("[governor]\nzones = " + std::string(500, 'z') + "\n");
}

}  // namespace
}  // namespace badgergrade::test
