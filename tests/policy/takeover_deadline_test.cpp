// Drained servers must leave the tables of all proxies within the drain grace while proxies of
// other instances connect, wherever the channel can carry what that takes.
//
// A longer run by hand, with a line for each draw:
//   BADGERGRADE_FIRST_SEED=1 BADGERGRADE_DRAWN_CASES=1000 badgergrade_policy_tests
//       --gtest_filter=TakeoverDeadline.DrawnTakeovers

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "takeover.h"

namespace badgergrade::policy {
namespace {

bool is_feasible(const Takeover& takeover) {
    return schedule_takeover(takeover).late_messages == 0;
}

/// The rules that hold on any channel.
void expect_limits(const Takeover& takeover, const TakeoverResult& result) {
    EXPECT_EQ(result.without_server, 0) << describe(takeover);
    EXPECT_LE(result.max_queued_lines, takeover.settings.max_queued_lines) << describe(takeover);
    if (takeover.settings.max_messages > 0) {
        EXPECT_LE(result.max_messages, static_cast<std::size_t>(takeover.settings.max_messages))
            << describe(takeover);
    }
}

class DrawnTakeoverTest : public testing::TestWithParam<std::uint32_t> {};

// Guards against drained servers in tables past the grace because what is due is sent in another
// order than by its due time, in more lines than needed, or by a pace that the channel does not
// have.
TEST_P(DrawnTakeoverTest, RemovalsThatTheChannelCanCarryAreInTime) {
    const Takeover takeover = draw_takeover(GetParam());
    const TakeoverResult result = play_takeover(takeover);
    expect_limits(takeover, result);
    const TakeoverSchedule schedule = schedule_takeover(takeover);
    if (schedule.late_messages > 0) {
        std::cout << "not feasible: the best schedule has " << schedule.late_messages
                  << " late messages, the planner " << result.late_removals << " late removals\n";
        return;
    }
    EXPECT_EQ(result.late_removals, 0)
        << "by " << to_seconds(result.max_lateness) << " s at most, where the best schedule has "
        << to_seconds(schedule.least_slack) << " s to spare; first " << result.first_late_removal
        << "\n"
        << describe(takeover);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DrawnTakeoverTest, testing::Range(1U, 41U));
INSTANTIATE_TEST_SUITE_P(LateSeeds, DrawnTakeoverTest,
                         testing::Values(137U, 163U, 191U, 281U, 317U));

// The draws would show nothing if the channel could carry few of them.
TEST(TakeoverDeadline, MostDrawnTakeoversAreFeasible) {
    constexpr std::uint32_t kDraws = 100;
    int feasible = 0;
    for (std::uint32_t seed = 1; seed <= kDraws; ++seed) {
        feasible += is_feasible(draw_takeover(seed));
    }
    std::cout << feasible << " of " << kDraws << " drawn takeovers are feasible\n";
    EXPECT_GE(feasible, 50);
}

Settings settings_of_channel(int zones, double lines_per_second, double header_lines, Micros grace,
                             Micros network_delay) {
    Settings settings = basic_settings(zones);
    settings.channel_lines_per_second = lines_per_second;
    settings.message_header_lines = header_lines;
    settings.drain_grace = grace;
    settings.mean_network_delay = network_delay;
    settings.max_network_delay = 4 * network_delay;
    settings.max_time_without_server = 5 * kSecond;
    return settings;
}

/// A release of half of 200 servers in four steps; 480 proxies become 1,200.
Takeover release_in_one_zone(Micros time_per_message) {
    Takeover takeover;
    takeover.settings = settings_of_channel(1, 13'000, 3, Micros{3'000'000}, Micros{150'000});
    takeover.settings.max_queued_lines = 33'600;
    takeover.settings.max_messages = 20;
    takeover.settings.message_window = 10 * kSecond;
    takeover.pace = {13'000, time_per_message, takeover.settings.mean_network_delay};
    const Micros first_step = kStart + 20 * kSecond;
    const Micros steps[] = {Micros{0}, Micros{1'700'000}, Micros{3'300'000}, Micros{5'100'000}};
    for (unsigned index = 0; index < 200; ++index) {
        const Micros drains_at = index < 100 ? first_step + steps[index / 30] : Micros::max();
        takeover.servers.push_back({{index}, {0}, drains_at, false, kStart});
    }
    for (int index = 0; index < 1200; ++index) {
        const Micros joins_after{1'590'000 + (index - 480) * 1'710'000 / 720};
        takeover.proxies.push_back({{0}, index < 480 ? kStart : first_step + joins_after});
    }
    takeover.ends_at = first_step + 60 * kSecond;
    return takeover;
}

/// 55 of 92 servers of three zones drain one by one, on a channel that a message for each drain to
/// each proxy would overload; one operation is local-only.
Takeover drains_one_by_one() {
    Takeover takeover;
    takeover.settings = settings_of_channel(3, 1750, 6, Micros{1'500'000}, Micros{245'000});
    takeover.settings.max_queued_lines = 16'000;
    takeover.settings.operations.push_back(takeover.settings.operations.front());
    takeover.settings.operations.back().local_only = true;
    takeover.pace = {1750, Micros{0}, takeover.settings.mean_network_delay};
    for (unsigned index = 0; index < 92; ++index) {
        const Micros drains_at =
            index < 55 ? kStart + 20 * kSecond + index * Micros{120'000} : Micros::max();
        takeover.servers.push_back(
            {{index}, {static_cast<int>(index) % 3}, drains_at, false, kStart});
    }
    for (int index = 0; index < 108; ++index) {
        takeover.proxies.push_back({{index % 3}, kStart});
    }
    takeover.ends_at = kStart + 60 * kSecond;
    return takeover;
}

// Guards against removals for proxies with whole tables that go before the first assignments of
// those that have just connected, on a channel of the stated pace.
TEST(TakeoverDeadline, HoldsInOneZoneAtTheStatedPace) {
    const Takeover takeover = release_in_one_zone(Micros{0});
    ASSERT_TRUE(is_feasible(takeover));
    const TakeoverResult result = play_takeover(takeover);
    expect_limits(takeover, result);
    EXPECT_EQ(result.late_removals, 0) << result.first_late_removal;
}

// Guards against a planner that trusts the stated pace: each message takes 2.1 ms more.
TEST(TakeoverDeadline, HoldsInOneZoneBelowTheStatedPace) {
    const Takeover takeover = release_in_one_zone(Micros{2'100});
    ASSERT_TRUE(is_feasible(takeover));
    const TakeoverResult result = play_takeover(takeover);
    expect_limits(takeover, result);
    EXPECT_EQ(result.late_removals, 0) << result.first_late_removal;
}

// Guards against interim tables that stay: when nothing is due any more, all proxies get the whole
// table.
TEST(TakeoverDeadline, AllProxiesGetTheWholeTableInTheEnd) {
    const TakeoverResult result = play_takeover(release_in_one_zone(Micros{2'100}));
    EXPECT_EQ(result.min_final_width, 100U);
}

// Guards against a message for each single drain, and tables that are served by their number while
// others wait past the grace.
TEST(TakeoverDeadline, HoldsWhileServersDrainOneByOne) {
    const Takeover takeover = drains_one_by_one();
    ASSERT_TRUE(is_feasible(takeover));
    const TakeoverResult result = play_takeover(takeover);
    expect_limits(takeover, result);
    EXPECT_EQ(result.late_removals, 0) << result.first_late_removal;
}

int number_from_environment(const char* name, int otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::atoi(text);
}

// The same check for any seeds.
TEST(TakeoverDeadline, DrawnTakeovers) {
    const int first = number_from_environment("BADGERGRADE_FIRST_SEED", 41);
    const int cases = number_from_environment("BADGERGRADE_DRAWN_CASES", 10);
    int feasible = 0;
    int broken = 0;
    for (int seed = first; seed < first + cases; ++seed) {
        const Takeover takeover = draw_takeover(static_cast<std::uint32_t>(seed));
        const TakeoverSchedule schedule = schedule_takeover(takeover);
        const TakeoverResult result = play_takeover(takeover);
        expect_limits(takeover, result);
        feasible += schedule.late_messages == 0;
        broken += schedule.late_messages == 0 && result.late_removals > 0;
        std::cout << seed << (result.late_removals > 0 ? " LATE " : " held ")
                  << result.late_removals << " by " << to_seconds(result.max_lateness) << " s "
                  << result.first_late_removal << "; without server " << result.without_server
                  << "; most queued " << result.max_queued_lines << ", messages "
                  << result.max_messages << "; " << result.total_lines << " lines in "
                  << result.total_messages << " messages; least width at the end "
                  << result.min_final_width << ", highest load " << result.max_load
                  << "; schedule late " << schedule.late_messages << " slack "
                  << to_seconds(schedule.least_slack) << "; " << describe(takeover) << "\n";
    }
    std::cout << cases << " drawn, " << feasible << " feasible, " << broken << " broken\n";
    EXPECT_EQ(broken, 0);
}

}  // namespace
}  // namespace badgergrade::policy
