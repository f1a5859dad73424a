#include "policy/publisher.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

constexpr TableId kZoneTable{0};

class PublisherTest : public testing::Test {
protected:
    PublisherTest() {
        for (unsigned id = 1; id <= 3; ++id) {
            add_server(fleet, id, 0);
        }
    }

    static ServerId server_of(const Command& command) {
        return std::get<command::SetWeight>(command).server;
    }

    static double weight_of(const Command& command) {
        return std::get<command::SetWeight>(command).weight;
    }

    TableDifference difference(const Table& table) const {
        return table_difference(kStart, kZoneTable, table, fleet, outliers, slow_start);
    }

    Settings settings = basic_settings(1);
    FleetState fleet = empty_fleet(1);
    OutlierDetector outliers{1, kObjective, kNoCpuColumn};
    Subsetting subsetting{1, kSecond};
    SlowStart slow_start{warming_settings(), kObjective, kStart};
    SendBudget budget{settings, kStart};
    Publisher publisher{settings, fleet, outliers, slow_start, subsetting, budget};
};

/// A proxy may be sent five messages in 10 s, two of them with changes that can wait; urgent
/// changes of a table are merged for 4 s.
class LimitedPublisherTest : public PublisherTest {
protected:
    static Settings few_messages() {
        Settings settings = basic_settings(1);
        settings.max_messages = 5;
        settings.message_window = 10 * kSecond;
        return settings;
    }

    SendBudget limited_budget{few_messages(), kStart};
    Publisher limited{few_messages(), fleet, outliers, slow_start, subsetting, limited_budget};
};

// Lines over the budget are sent later, so their order matters: removals of gone servers first,
// then new servers, and last servers that now belong to another table.
TEST_F(PublisherTest, GoneServersAreFirstAndReassignedServersLast) {
    fleet.servers[{1}].state = ServerState::Gone;
    add_server(fleet, 4, 0);
    Table table;
    table.published_weights = {{{1}, 1}, {{2}, 1}, {{3}, 1}};
    table.desired_weights = {{{3}, 1}, {{4}, 1}};
    const auto result = difference(table);
    ASSERT_EQ(result.lines.size(), 3U);
    EXPECT_EQ(server_of(result.lines[0]), ServerId{1});
    EXPECT_EQ(server_of(result.lines[1]), ServerId{4});
    EXPECT_EQ(server_of(result.lines[2]), ServerId{2});
    EXPECT_EQ(result.urgent_count, 1U);
    EXPECT_TRUE(result.has_removals);
}

// A table that is emptied before its new servers arrive leaves its proxies without a server.
TEST_F(PublisherTest, NewServersAreSentBeforeATableIsEmptied) {
    fleet.servers[{1}].state = ServerState::Gone;
    Table table;
    table.published_weights = {{{1}, 1}};
    table.desired_weights = {{{2}, 1}};
    const auto result = difference(table);
    ASSERT_EQ(result.lines.size(), 2U);
    EXPECT_EQ(server_of(result.lines[0]), ServerId{2});
    EXPECT_EQ(weight_of(result.lines[1]), 0);
    EXPECT_EQ(result.urgent_count, 2U);
}

// Guards against a warming server that must leave a table and waits for channel room like one that
// only moves to another table: it collapses within the overload collapse time.
TEST_F(PublisherTest, AWarmingServerLeavesATableAtOnce) {
    Server& restarted = fleet.servers[{1}];
    restarted.started_at = kStart;
    restarted.start_reported_at = kStart;
    Table table;
    table.published_weights = {{{1}, 1}, {{2}, 1}};
    table.desired_weights = {{{2}, 1}, {{3}, 1}};
    const auto result = difference(table);
    ASSERT_EQ(result.lines.size(), 2U);
    EXPECT_EQ(server_of(result.lines[0]), ServerId{1});
    EXPECT_EQ(result.urgent_count, 1U);
}

// Guards against a table that is to be empty and keeps its only server, which has restarted: all
// its users would send to it.
TEST_F(PublisherTest, ATableThatIsToBeEmptyKeepsNoWarmingServer) {
    const Proxy& proxy = add_proxy(fleet, 1, 0, 1);
    Table& table = fleet.tables[fleet.full_table()];
    table.desired_weights = {{{1}, 1}, {{2}, 1}};
    publisher.publish(kStart, true);
    ASSERT_FALSE(proxy.assigned_tables.empty());
    fleet.servers[{1}].started_at = kStart + kSecond;
    table.desired_weights.clear();
    publisher.publish(kStart + 2 * kSecond, true);
    EXPECT_EQ(table.published_weights, (std::map<ServerId, double>{{{2}, 1}}));
}

// Without a difference nothing is sent: every line costs the channel one line for each user.
TEST_F(PublisherTest, WithoutADifferenceNothingIsSent) {
    Table table;
    table.published_weights = {{{1}, 1}};
    table.desired_weights = {{{1}, 1 + 1e-12}};
    EXPECT_TRUE(difference(table).lines.empty());
}

// A proxy that is assigned a table before the table's lines are sent would pick from an empty
// table. The lines are sent first, then the assignment, then one request for an acknowledgement.
TEST_F(PublisherTest, AnAssignmentFollowsTheLinesOfItsTable) {
    add_proxy(fleet, 1, 0, 1);
    fleet.tables[kZoneTable].desired_weights = {{{1}, 1}};
    const auto commands = publisher.publish(kStart, false);
    ASSERT_EQ(commands.size(), 3U);
    EXPECT_TRUE(std::holds_alternative<command::SetWeight>(commands[0]));
    EXPECT_EQ(std::get<command::AssignTable>(commands[1]).table, kZoneTable);
    EXPECT_TRUE(std::holds_alternative<command::RequestAck>(commands[2]));
    EXPECT_TRUE(publisher.publish(kStart + kSecond, false).empty());
}

// A second change of a table waits until the first is acknowledged, or for two seconds, so that
// changes are merged; a removal is sent at once.
TEST_F(PublisherTest, MergesChangesUntilTheyAreAcknowledged) {
    add_proxy(fleet, 1, 0, 1);
    Table& table = fleet.tables[kZoneTable];
    table.desired_weights = {{{1}, 1}};
    publisher.publish(kStart, false);
    table.desired_weights[{2}] = 1;
    publisher.publish(kStart + kSecond, false);
    table.desired_weights[{3}] = 1;
    EXPECT_TRUE(publisher.publish(kStart + kSecond, false).empty());
    fleet.servers[{1}].state = ServerState::Gone;
    table.desired_weights.erase({1});
    EXPECT_FALSE(publisher.publish(kStart + kSecond, false).empty());
}

// A proxy that waits for its first tables may hold draining servers: servers that now belong to
// another table are not removed before its assignment.
TEST_F(PublisherTest, FirstAssignmentsGoBeforeReassignedServers) {
    Table& table = fleet.tables[kZoneTable];
    table.desired_weights = {{{1}, 1}, {{2}, 1}, {{3}, 1}};
    add_proxy(fleet, 1, 0, 1);
    publisher.publish(kStart, false);
    add_proxy(fleet, 2, 0, 1);
    table.desired_weights = {{{1}, 1}};
    const auto commands = publisher.publish(kStart + kSecond, false);
    ASSERT_EQ(commands.size(), 4U);
    EXPECT_EQ(std::get<command::AssignTable>(commands[0]).proxy, ProxyId{2});
    EXPECT_EQ(weight_of(commands[1]), 0);
}

// Guards against proxies that stay without a server because the messages that may wait are used up:
// the first servers of an empty table are urgent.
TEST_F(PublisherTest, TheFirstServersOfAnEmptyTableAreUrgent) {
    Table table;
    table.desired_weights = {{{1}, 1}, {{2}, 1}};
    EXPECT_EQ(difference(table).urgent_count, 2U);
}

// Guards against proxies with an empty table that wait for another one like those that only change
// their tables: they have no server.
TEST_F(LimitedPublisherTest, ProxiesWithAnEmptyTableAreAssignedAnotherOneFirst) {
    const Proxy& proxy = add_proxy(fleet, 1, 0, 1);
    Table& zone_table = fleet.tables[kZoneTable];
    zone_table.desired_weights = {{{1}, 1}};
    limited.publish(kStart, false);
    // The zone table and the full table are empty now.
    fleet.servers[{1}].state = ServerState::Gone;
    zone_table.desired_weights.clear();
    limited.publish(kStart + 4 * kSecond, false);
    const std::map<OperationMask, TableId> full{{0, fleet.full_table()}};
    ASSERT_EQ(proxy.assigned_tables, full);
    zone_table.desired_weights = {{{2}, 1}};
    limited.publish(kStart + 5 * kSecond, false);
    const std::map<OperationMask, TableId> zone{{0, kZoneTable}};
    EXPECT_EQ(proxy.assigned_tables, zone);
}

// Guards against more users for a table whose warming server is to leave it, while that removal
// waits for others to be sent with it: a proxy that has a table keeps it until then.
TEST_F(LimitedPublisherTest, NoProxyIsMovedToATableThatAWarmingServerHasToLeave) {
    const Proxy& proxy = add_proxy(fleet, 1, 0, 1);
    add_proxy(fleet, 2, -1, 1);
    fleet.tables[kZoneTable].desired_weights = {{{1}, 1}};
    Table& full_table = fleet.tables[fleet.full_table()];
    full_table.desired_weights = {{{2}, 1}, {{3}, 1}};
    limited.publish(kStart, false);
    full_table.desired_weights = {{{3}, 1}};
    limited.publish(kStart + 5 * kSecond, false);
    fleet.servers[{3}].started_at = kStart + 5 * kSecond;
    full_table.desired_weights.clear();
    limited.publish(kStart + 5 * kSecond + kSecond / 2, true);
    const std::map<OperationMask, TableId> zone{{0, kZoneTable}};
    EXPECT_EQ(proxy.assigned_tables, zone);
    limited.publish(kStart + 9 * kSecond, true);
    const std::map<OperationMask, TableId> full{{0, fleet.full_table()}};
    EXPECT_EQ(proxy.assigned_tables, full);
}

// A proxy whose zone table is empty, or whose zone is unknown, must get the full table.
TEST_F(PublisherTest, WithoutAZoneTableAProxyGetsTheFullTable) {
    const Proxy& proxy = add_proxy(fleet, 1, 0, 1);
    const std::map<OperationMask, TableId> full{{0, fleet.full_table()}};
    EXPECT_EQ(desired_tables(proxy, fleet, false, subsetting), full);
    fleet.tables[kZoneTable].desired_weights = {{{1}, 1}};
    const std::map<OperationMask, TableId> zone{{0, kZoneTable}};
    EXPECT_EQ(desired_tables(proxy, fleet, false, subsetting), zone);
    EXPECT_EQ(desired_tables(proxy, fleet, true, subsetting), full);
    EXPECT_EQ(desired_tables(add_proxy(fleet, 2, -1, 1), fleet, false, subsetting), full);
}

}  // namespace
}  // namespace badgergrade::policy
