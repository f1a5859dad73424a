#include "policy/channel_model.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

constexpr double kLinesPerSecond = 1000;

class ChannelModelTest : public testing::Test {
protected:
    static Settings settings() {
        Settings settings = basic_settings(1);
        settings.channel_lines_per_second = kLinesPerSecond;
        return settings;
    }

    /// A busy channel carries so many messages of this size, each in this time.
    void carry(int messages, double lines, Micros time_per_message) {
        model.on_acknowledged(now, true);
        for (int message = 0; message < messages; ++message) {
            now += time_per_message;
            model.on_carried(lines, 1);
            model.on_acknowledged(now, true);
        }
    }

    Micros now = kStart;
    ChannelModel model{settings()};
};

// Without acknowledgements the stated pace is all that is known.
TEST_F(ChannelModelTest, StartsWithTheStatedPace) {
    EXPECT_DOUBLE_EQ(model.seconds(500, 10), 0.5);
}

// Guards against a planner that trusts the stated pace: the channel takes 5 ms for each message
// beside its lines, which small messages show.
TEST_F(ChannelModelTest, LearnsTheTimeOfAMessage) {
    carry(300, 100, Micros{105'000});
    carry(300, 5, Micros{10'000});
    EXPECT_NEAR(model.seconds(100, 1), 0.105, 0.002);
    EXPECT_NEAR(model.seconds(5, 1), 0.010, 0.0005);
}

// The channel has half of its stated pace.
TEST_F(ChannelModelTest, LearnsTheTimeOfALine) {
    carry(300, 100, Micros{200'000});
    carry(300, 5, Micros{10'000});
    EXPECT_NEAR(model.seconds(100, 1), 0.2, 0.004);
    EXPECT_NEAR(model.seconds(5, 1), 0.010, 0.0005);
}

// Guards against a slow channel that is remembered for ever.
TEST_F(ChannelModelTest, ReturnsToTheStatedPace) {
    carry(300, 100, Micros{400'000});
    EXPECT_GT(model.seconds(100, 1), 0.35);
    model.advance(now + 600 * kSecond);
    EXPECT_NEAR(model.seconds(100, 1), 0.1, 0.005);
}

// Acknowledgements of an idle channel say how long nothing was sent, not how long lines take.
TEST_F(ChannelModelTest, AnIdleChannelShowsNothing) {
    for (int message = 0; message < 100; ++message) {
        now += kSecond;
        model.on_carried(5, 1);
        model.on_acknowledged(now, false);
    }
    EXPECT_DOUBLE_EQ(model.seconds(5, 1), 0.005);
}

// Guards against a model that takes the channel to be so slow that it is never kept busy, and so
// never learns that it is faster.
TEST_F(ChannelModelTest, AnEarlyAcknowledgementCorrectsATimeThatIsTooLong) {
    carry(300, 5, Micros{10'000});
    EXPECT_GT(model.seconds(200, 1), 0.3);
    for (int message = 0; message < 100; ++message) {
        now += kSecond;
        model.on_carried_within(now, 200, 1, 0.205);
    }
    EXPECT_NEAR(model.seconds(200, 1), 0.205, 0.01);
}

// It may be slower than stated for a time, never faster.
TEST_F(ChannelModelTest, IsNeverFasterThanStated) {
    carry(300, 100, Micros{50'000});
    EXPECT_DOUBLE_EQ(model.seconds(100, 1), 0.1);
}

}  // namespace
}  // namespace badgergrade::policy
