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

// A queue that is full of what can wait would delay drains past their grace: a reserve is kept.
TEST_F(SendBudgetTest, KeepsAReserveForWhatIsUrgent) {
    SendBudget budget(settings, kStart);
    budget.begin_batch(kStart);
    EXPECT_EQ(available(budget, kStart, 1, Priority::Deferrable), 73U);
    EXPECT_EQ(available(budget, kStart, 1, Priority::Urgent), 93U);
}

// The queue can't be seen. Unacknowledged it is taken to drain at a twentieth of the stated pace,
// since a slow network must not fill it; an acknowledgement empties it.
TEST_F(SendBudgetTest, DrainsSlowlyOrByAcknowledgement) {
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 48);
    budget.begin_batch(kStart + 2 * kSecond);
    EXPECT_EQ(available(budget, kStart + 2 * kSecond, 1, Priority::Deferrable), 33U);
    acknowledge(budget, 1);
    EXPECT_EQ(available(budget, kStart + 2 * kSecond, 1, Priority::Deferrable), 73U);
}

// Lines to one proxy leave the channel in order with those to all others: one acknowledgement
// proves what was sent before it to anyone.
TEST_F(SendBudgetTest, AnAcknowledgementProvesEarlierLinesOfOthers) {
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 40);
    send(budget, kStart, 2, 10);
    acknowledge(budget, 2);
    EXPECT_EQ(available(budget, kStart, 1, Priority::Deferrable), 73U);
}

// What waited for a broken connection is lost, and newer lines may pass older ones. Until as many
// are acknowledged, an acknowledgement proves its own proxy's lines alone.
TEST_F(SendBudgetTest, AfterALossAnAcknowledgementProvesItsOwnProxyAlone) {
    SendBudget budget(settings, kStart);
    add_proxy(fleet, 3, 0, 1);
    send(budget, kStart, 3, 30);
    send(budget, kStart, 1, 30);
    budget.on_disconnected(fleet.proxies[{1}]);
    send(budget, kStart, 2, 5);
    acknowledge(budget, 2);
    EXPECT_FALSE(fleet.proxies[{3}].unacknowledged.empty());
}

// More messages than the settings allow break the deployment's rule; two fifths may be used for
// what can wait.
TEST_F(SendBudgetTest, LimitsMessages) {
    settings.max_messages = 5;
    settings.max_queued_lines = 0;
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 1);
    send(budget, kStart, 1, 1);
    budget.begin_batch(kStart);
    EXPECT_EQ(available(budget, kStart, 1, Priority::Deferrable), 0U);
    EXPECT_GT(available(budget, kStart, 1, Priority::Urgent), 0U);
    EXPECT_GT(available(budget, kStart, 2, Priority::Deferrable), 0U);
}

// A removal waits behind all that is queued before it: while acknowledgements tell how fast the
// channel is, only removals are added to a queue as long as a quarter of the drain grace.
TEST_F(SendBudgetTest, OnlyUrgentLinesJoinALongQueue) {
    settings.drain_grace = 2 * kSecond;
    SendBudget budget(settings, kStart);
    send(budget, kStart, 1, 1);
    acknowledge(budget, 1);
    send(budget, kStart, 1, 48);
    budget.begin_batch(kStart);
    EXPECT_EQ(available(budget, kStart, 2, Priority::FirstAssignment), 0U);
    EXPECT_EQ(available(budget, kStart, 2, Priority::Deferrable), 0U);
    EXPECT_EQ(available(budget, kStart, 2, Priority::Urgent), 43U);
    acknowledge(budget, 1);
    EXPECT_EQ(available(budget, kStart, 2, Priority::FirstAssignment), 93U);
}

// Acknowledgements that stay away for longer than a slow channel explains say nothing of it: the
// queue is then taken to drain at a quarter of the pace, and time in which this process stood still
// counts for half a second of that alone.
TEST_F(SendBudgetTest, DrainsFasterWhereNoAcknowledgementComes) {
    SendBudget budget(settings, kStart);
    for (int proxy = 1; proxy <= 9; ++proxy) {
        send(budget, kStart, proxy, 8);
    }
    const auto available_after = [&](Micros from, Micros to) {
        for (Micros now = from; now <= to; now += kSecond / 4) {
            budget.begin_batch(kStart + now);
        }
        return available(budget, kStart + to, 1, Priority::Urgent);
    };
    EXPECT_EQ(available_after(Micros{0}, 4 * kSecond), 23U);
    EXPECT_EQ(available_after(4 * kSecond, 5 * kSecond), 48U);
    EXPECT_EQ(available_after(7 * kSecond, 7 * kSecond), 68U);
}

// A removal cut to single lines costs its message head with each of them.
TEST_F(SendBudgetTest, APortionIsWorthItsMessageHead) {
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
