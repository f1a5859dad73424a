#include "policy/delivery_scheduler.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

/// A channel of 100 lines a second, and a drain grace of 4 s, of which known deliveries may take
/// two.
class DeliverySchedulerTest : public testing::Test {
protected:
    static Settings settings() {
        Settings settings = basic_settings(1);
        settings.channel_lines_per_second = 100;
        settings.drain_grace = 4 * kSecond;
        settings.max_time_without_server = 5 * kSecond;
        return settings;
    }

    static Delivery removal(Micros told_at, double lines) {
        Delivery delivery;
        delivery.due = told_at + 4 * kSecond;
        delivery.table = TableId{0};
        delivery.lines = lines;
        delivery.messages = 0;
        delivery.is_limited_by_grace = true;
        return delivery;
    }

    bool uses_interim_tables(Micros now, std::vector<Delivery> deliveries) {
        scheduler.update(now, budget, deliveries);
        return scheduler.uses_interim_tables();
    }

    DeliveryScheduler scheduler{settings()};
    SendBudget budget{settings(), kStart};
};

// Guards against an order by kind: what is due first is sent first, whatever it is.
TEST_F(DeliverySchedulerTest, TheEarliestDueTimeIsFirst) {
    Delivery assignment;
    assignment.due = kStart + 3 * kSecond;
    assignment.proxy = {7};
    std::vector<Delivery> deliveries{removal(kStart, 10), assignment,
                                     removal(kStart - 2 * kSecond, 10)};
    scheduler.update(kStart, budget, deliveries);
    EXPECT_EQ(deliveries[0].due, kStart + 2 * kSecond);
    EXPECT_EQ(deliveries[1].proxy, ProxyId{7});
    EXPECT_EQ(deliveries[2].due, kStart + 4 * kSecond);
}

// Interim tables cost a second assignment, so that they are used only where wide tables don't fit.
TEST_F(DeliverySchedulerTest, WideTablesAreUsedWhileTheyFit) {
    EXPECT_FALSE(uses_interim_tables(kStart, {removal(kStart, 199)}));
    EXPECT_TRUE(uses_interim_tables(kStart, {removal(kStart, 201)}));
    EXPECT_FALSE(uses_interim_tables(kStart, {}));
}

// Guards against a removal that waits until its time is nearly over: one that has waited leaves
// less time for its lines.
TEST_F(DeliverySchedulerTest, TimeThatHasPassedCounts) {
    EXPECT_FALSE(uses_interim_tables(kStart, {removal(kStart, 160)}));
    EXPECT_TRUE(uses_interim_tables(kStart + kSecond / 2, {removal(kStart, 160)}));
}

// What is due before a removal takes its time as well.
TEST_F(DeliverySchedulerTest, EarlierDeliveriesCount) {
    Delivery assignment;
    assignment.due = kStart;
    assignment.lines = 60;
    assignment.messages = 0;
    EXPECT_TRUE(uses_interim_tables(kStart, {removal(kStart, 160), assignment}));
}

// A proxy without tables from this instance may hold each server that is draining now.
TEST_F(DeliverySchedulerTest, AFirstAssignmentIsDueWithinTheGraceAfterConnectionAndDrain) {
    Proxy proxy;
    proxy.connected_at = kStart;
    EXPECT_EQ(scheduler.first_assignment_due(proxy, kStart - kSecond), kStart + 4 * kSecond);
    EXPECT_EQ(scheduler.first_assignment_due(proxy, kStart + kSecond), kStart + 5 * kSecond);
    EXPECT_EQ(scheduler.first_assignment_due(proxy, std::nullopt), kStart + 5 * kSecond);
}

// The rule needs a grace: without one no time is too long.
TEST(DeliverySchedulerWithoutGrace, UsesWideTables) {
    Settings settings = basic_settings(1);
    settings.channel_lines_per_second = 1;
    DeliveryScheduler scheduler(settings);
    const SendBudget budget(settings, kStart);
    Delivery delivery;
    delivery.due = kStart;
    delivery.lines = 1000;
    delivery.is_limited_by_grace = true;
    std::vector<Delivery> deliveries{delivery};
    scheduler.update(kStart, budget, deliveries);
    EXPECT_FALSE(scheduler.uses_interim_tables());
}

}  // namespace
}  // namespace badgergrade::policy
