#include "policy/send_budget.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

class SendBudgetTest : public testing::Test {
protected:
    SendBudgetTest() {
        settings.channel_lines_per_second = 100;
        settings.max_queued_lines = 100;
        settings.message_header_lines = 1;
        settings.message_window = 14 * kSecond;
        add_proxy(fleet, 1, 0, 1);
        add_proxy(fleet, 2, 0, 1);
    }

    void send(SendBudget& budget, Micros now, int proxy, double lines) {
        budget.begin_batch(now);
        budget.reserve(fleet.proxies, {{proxy}}, lines);
        budget.commit_batch(now, fleet.proxies);
    }

    void acknowledge(SendBudget& budget, int proxy) {
        budget.on_acknowledged(kStart, {{proxy}, {budget.version()}, {}}, fleet.proxies);
    }

    std::size_t available(const SendBudget& budget, Micros now, int proxy, Priority priority) {
        return budget.lines_available(now, fleet.proxies, {{proxy}}, priority);
    }

    Settings settings = basic_settings(1);
    FleetState fleet = empty_fleet(1);
};

// Everything that is queued delays what is due next: once more is queued than a round trip takes,
// nothing is sent, whatever its priority, until acknowledgements show room.
TEST_F(SendBudgetTest, SendsNothingWhileTheChannelIsBusy) {
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 1);
    acknowledge(budget, 1);
    EXPECT_TRUE(budget.has_room(kStart));
    send(budget, kStart, 1, 48);
    budget.begin_batch(kStart);
    EXPECT_FALSE(budget.has_room(kStart));
    EXPECT_EQ(available(budget, kStart, 2, Priority::Deferrable), 0U);
    EXPECT_EQ(available(budget, kStart, 2, Priority::Due), 0U);
    acknowledge(budget, 1);
    EXPECT_EQ(available(budget, kStart, 2, Priority::Due), 93U);
}

// Guards against a channel that idles because no proxy acknowledges anything: until the first
// acknowledgement the queue is taken to empty at the stated pace.
TEST_F(SendBudgetTest, BeforeTheFirstAcknowledgementTheStatedPaceCounts) {
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 48);
    budget.begin_batch(kStart + kSecond / 10);
    EXPECT_FALSE(budget.has_room(kStart + kSecond / 10));
    budget.begin_batch(kStart + kSecond / 5);
    EXPECT_TRUE(budget.has_room(kStart + kSecond / 5));
}

// Lines that join a message which is sent anyway cost no header.
TEST_F(SendBudgetTest, AMessageOfThisBatchMayGrowWhileTheChannelIsBusy) {
    SendBudget budget(settings, kStart);
    budget.begin_batch(kStart);
    budget.reserve(fleet.proxies, {{1}}, 48);
    EXPECT_EQ(available(budget, kStart, 1, Priority::Due), 45U);
    EXPECT_EQ(available(budget, kStart, 2, Priority::Due), 0U);
}

// The queue can't be observed. Without acknowledgements it is assumed to shrink at a twentieth of
// the stated pace, so that it does not overflow with a slow network; an acknowledgement empties it.
TEST_F(SendBudgetTest, QueueShrinksSlowlyOrByAcknowledgement) {
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 48);
    budget.begin_batch(kStart + 2 * kSecond);
    EXPECT_EQ(available(budget, kStart + 2 * kSecond, 1, Priority::Deferrable), 53U);
    acknowledge(budget, 1);
    EXPECT_EQ(available(budget, kStart + 2 * kSecond, 1, Priority::Deferrable), 93U);
}

// The channel sends the lines of all proxies in order: one acknowledgement proves that all earlier
// lines, to any proxy, have left it.
TEST_F(SendBudgetTest, AnAcknowledgementProvesEarlierLinesOfOthers) {
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 40);
    send(budget, kStart, 2, 10);
    acknowledge(budget, 2);
    EXPECT_EQ(available(budget, kStart, 1, Priority::Deferrable), 93U);
}

// Lines queued for a lost connection are dropped, and newer lines may pass older ones. Until as
// many lines are acknowledged, an acknowledgement proves only the lines of its own proxy.
TEST_F(SendBudgetTest, AfterALossAnAcknowledgementProvesOnlyItsOwnProxysLines) {
    SendBudget budget(settings, kStart);
    add_proxy(fleet, 3, 0, 1);
    send(budget, kStart, 3, 30);
    send(budget, kStart, 1, 30);
    budget.on_disconnected(fleet.proxies[{1}]);
    send(budget, kStart, 2, 5);
    acknowledge(budget, 2);
    EXPECT_FALSE(fleet.proxies[{3}].unacknowledged.empty());
}

// More messages than the settings allow violate the deployment's rule; two fifths may be used for
// deferrable lines.
TEST_F(SendBudgetTest, LimitsMessages) {
    settings.max_messages = 5;
    settings.max_queued_lines = 0;
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 1);
    send(budget, kStart, 1, 1);
    budget.begin_batch(kStart);
    EXPECT_EQ(available(budget, kStart, 1, Priority::Deferrable), 0U);
    EXPECT_GT(available(budget, kStart, 1, Priority::Due), 0U);
    EXPECT_GT(available(budget, kStart, 2, Priority::Deferrable), 0U);
}

// Acknowledgements that are overdue by more than a slow channel explains say nothing about it: the
// queue is then assumed to shrink at a quarter of the pace. Of time in which this process did not
// run only half a second counts at that pace.
TEST_F(SendBudgetTest, QueueShrinksFasterWhileAcknowledgementsAreOverdue) {
    SendBudget budget(settings, kStart);
    for (int proxy = 1; proxy <= 9; ++proxy) {
        send(budget, kStart, proxy, 8);
    }
    const auto available_after = [&](Micros from, Micros to) {
        for (Micros now = from; now <= to; now += kSecond / 4) {
            budget.begin_batch(kStart + now);
        }
        return available(budget, kStart + to, 1, Priority::Due);
    };
    EXPECT_EQ(available_after(Micros{0}, 4 * kSecond), 23U);
    EXPECT_EQ(available_after(4 * kSecond, 5 * kSecond), 48U);
    EXPECT_EQ(available_after(7 * kSecond, 7 * kSecond), 68U);
}

// A removal that is split into single lines costs a message header for each of them.
TEST_F(SendBudgetTest, APartialRemovalIsWorthItsMessageHeader) {
    settings.message_header_lines = 3;
    const SendBudget budget(settings, kStart);
    EXPECT_EQ(budget.min_partial_lines(3, 5), 3U);
    EXPECT_EQ(budget.min_partial_lines(20, 5), 8U);
    EXPECT_EQ(budget.min_partial_lines(20, 12), 3U);
    EXPECT_EQ(budget.min_partial_lines(20, 40), 1U);
}

// Versions wrap at 65,536: the first after the wrap is newer than the last before it.
TEST(SendBudgetVersions, WrapAround) {
    EXPECT_TRUE(is_newer(0, 65535));
    EXPECT_FALSE(is_newer(65535, 0));
    EXPECT_FALSE(is_newer(5, 5));
}

}  // namespace
}  // namespace badgergrade::policy
