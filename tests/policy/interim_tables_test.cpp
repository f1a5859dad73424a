#include "policy/interim_tables.h"

#include <gtest/gtest.h>

#include <set>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

constexpr unsigned kServers = 48;
constexpr TableId kZoneTable{0};

class InterimTablesTest : public testing::Test {
protected:
    InterimTablesTest() {
        for (unsigned id = 0; id < kServers; ++id) {
            add_server(fleet, id, 0).subset_hash = (id + 0.5) / kServers;
            fleet.tables[kZoneTable].desired_weights[{id}] = 1;
        }
        add_server(fleet, kServers, 0).state = ServerState::Draining;
    }

    /// In a quarter of the grace the channel carries twenty lines.
    static Settings narrow_channel() {
        Settings settings = basic_settings(1);
        settings.channel_lines_per_second = 80;
        settings.drain_grace = kSecond;
        settings.slow_start_window = kSecond;
        return settings;
    }

    InterimTables::Assignment first_table(int proxy) {
        return tables.first_assignment(add_proxy(fleet, proxy, 0, 1), complete_tables);
    }

    const InterimTables::Assignment complete_tables{{0, kZoneTable}};
    FleetState fleet = empty_fleet(1);
    SlowStart slow_start{narrow_channel(), kObjective, kStart};
    InterimTables tables{narrow_channel()};
};

// Complete tables that fit are assigned at once: a second assignment costs the channel as much
// again.
TEST_F(InterimTablesTest, CompleteTablesAreAssignedIfTheyFit) {
    for (unsigned id = 10; id < kServers; ++id) {
        fleet.tables[kZoneTable].desired_weights.erase(ServerId{id});
    }
    tables.update(kStart, {complete_tables}, fleet, slow_start);
    EXPECT_EQ(first_table(1), complete_tables);
}

// While all servers are ready, the tables that proxies already hold contain no draining server.
TEST_F(InterimTablesTest, CompleteTablesAreAssignedWhileAllServersAreReady) {
    fleet.servers.erase(ServerId{kServers});
    tables.update(kStart, {complete_tables}, fleet, slow_start);
    EXPECT_EQ(first_table(1), complete_tables);
}

// Complete tables for all proxies that were taken over occupy the channel for longer than the drain
// grace. The table is split into interim tables of twelve servers, and proxies are spread over
// them.
TEST_F(InterimTablesTest, AWideTableIsSplit) {
    tables.update(kStart, {complete_tables}, fleet, slow_start);
    std::set<TableId> used;
    for (int proxy = 0; proxy < 4; ++proxy) {
        const auto first = first_table(proxy);
        const TableId table = first.at(0);
        EXPECT_EQ(fleet.tables[table].desired_weights.size(), 12U);
        used.insert(table);
        fleet.proxies[{proxy}].assigned_tables = first;
        tables.on_assigned(fleet.proxies[{proxy}]);
    }
    EXPECT_EQ(used.size(), 4U);
}

// Servers that are warming up are left out: in a narrow table they would receive what the busy
// servers beside them refuse.
TEST_F(InterimTablesTest, WarmingServersAreInNoInterimTable) {
    fleet.servers[{0}].started_at = kStart - kSecond / 2;
    tables.update(kStart, {complete_tables}, fleet, slow_start);
    for (int part = 0; part < 4; ++part) {
        EXPECT_FALSE(
            fleet.tables[fleet.interim_table(kZoneTable, part)].desired_weights.contains({0}));
    }
}

// Interim tables that were never emptied would cost time in each decision, and proxies that no
// longer use them would count in the next takeover: tables without users are emptied, and rates are
// those of the current users.
TEST_F(InterimTablesTest, TablesWithoutUsersAreEmptied) {
    tables.update(kStart, {complete_tables}, fleet, slow_start);
    fleet.proxies[{1}].assigned_tables = first_table(1);
    tables.on_assigned(fleet.proxies[{1}]);
    const TableId used = fleet.proxies[{1}].assigned_tables.at(0);
    tables.update(kStart, {}, fleet, slow_start);
    EXPECT_EQ(fleet.tables[used].desired_weights.size(), 12U);
    fleet.proxies[{1}].assigned_tables = complete_tables;
    tables.update(kStart, {}, fleet, slow_start);
    EXPECT_TRUE(fleet.tables[used].desired_weights.empty());
    tables.update(kStart, {complete_tables}, fleet, slow_start);
    EXPECT_EQ(first_table(2).at(0), used);
}

// An interim table that loses nearly all its servers would leave its proxies without any: it is
// filled anew. Servers that leave the base table leave it too.
TEST_F(InterimTablesTest, ATableWithFewRemainingServersIsFilledAnew) {
    tables.update(kStart, {complete_tables}, fleet, slow_start);
    add_proxy(fleet, 1, 0, 1).assigned_tables = {{0, fleet.interim_table(kZoneTable, 0)}};
    Table& table = fleet.tables[fleet.interim_table(kZoneTable, 0)];
    table.published_weights = table.desired_weights;
    fleet.tables[kZoneTable].desired_weights.erase(ServerId{0});
    tables.update(kStart, {}, fleet, slow_start);
    EXPECT_EQ(table.desired_weights.size(), 11U);
    for (unsigned id = 0; id < 10; ++id) {
        fleet.tables[kZoneTable].desired_weights.erase(ServerId{id});
    }
    tables.update(kStart, {}, fleet, slow_start);
    EXPECT_EQ(table.desired_weights.size(), 38U);
}

}  // namespace
}  // namespace badgergrade::policy
