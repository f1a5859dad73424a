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
            add_server(fleet, id, 0);
            fleet.tables[kZoneTable].desired_weights[{id}] = 1;
        }
    }

    static Settings warming_for_a_second() {
        Settings settings = basic_settings(1);
        settings.slow_start_window = kSecond;
        return settings;
    }

    /// Assigns a proxy its interim table, as the publisher does.
    TableId assign(int number) {
        Proxy& proxy = add_proxy(fleet, number, 0, 1);
        const TableId id = tables.table_for(kStart, proxy, kZoneTable);
        publish(id);
        proxy.assigned_tables = {{0, id}};
        tables.on_assigned(proxy);
        return id;
    }

    void publish(TableId id) {
        fleet.tables[id].published_weights = fleet.tables[id].desired_weights;
    }

    const std::map<ServerId, double>& desired(TableId id) {
        return fleet.tables[id].desired_weights;
    }

    /// How many proxies use each server.
    std::map<ServerId, int> users_by_server() {
        std::map<ServerId, int> users;
        for (const auto& [id, proxy] : fleet.proxies) {
            for (const auto& [server, weight] : desired(proxy.assigned_tables.at(0))) {
                ++users[server];
            }
        }
        return users;
    }

    FleetState fleet = empty_fleet(1);
    SlowStart slow_start{warming_for_a_second(), kObjective, kStart};
    InterimTables tables{fleet, slow_start};
};

// A table of a few servers is as cheap as an interim one, and fewer servers would be overloaded.
TEST_F(InterimTablesTest, OnlyAWideTableIsReplaced) {
    EXPECT_TRUE(tables.can_replace(kStart, kZoneTable));
    for (unsigned id = 11; id < kServers; ++id) {
        fleet.tables[kZoneTable].desired_weights.erase(ServerId{id});
    }
    EXPECT_FALSE(tables.can_replace(kStart, kZoneTable));
}

// Guards against narrow tables that overload few servers: proxies are spread over all of them.
TEST_F(InterimTablesTest, ProxiesAreSpreadOverAllServers) {
    for (int proxy = 0; proxy < 64; ++proxy) {
        EXPECT_EQ(desired(assign(proxy)).size(), kInterimWidth);
    }
    for (const auto& [server, users] : users_by_server()) {
        EXPECT_EQ(users, 8) << server.value;
    }
}

// Servers that are warming up are left out: in a narrow table they would receive what the busy
// servers beside them refuse.
TEST_F(InterimTablesTest, WarmingServersAreInNoInterimTable) {
    fleet.servers[{0}].started_at = kStart - kSecond / 2;
    for (int proxy = 0; proxy < 64; ++proxy) {
        EXPECT_FALSE(desired(assign(proxy)).contains({0}));
    }
}

// Interim tables that were never emptied would cost time in each decision, and would name servers
// that are gone.
TEST_F(InterimTablesTest, TablesWithoutUsersAreEmptied) {
    const TableId used = assign(1);
    tables.update(kStart);
    EXPECT_EQ(desired(used).size(), kInterimWidth);
    fleet.proxies[{1}].assigned_tables = {{0, kZoneTable}};
    tables.update(kStart);
    EXPECT_TRUE(desired(used).empty());
    publish(used);
    tables.update(kStart);
    EXPECT_FALSE(fleet.tables.contains(used));
}

// Guards against interim tables that become ever narrower, so that their users overload the servers
// that are left: each server that leaves the complete table is replaced.
TEST_F(InterimTablesTest, AServerThatLeavesIsReplaced) {
    const TableId used = assign(1);
    const auto before = desired(used);
    fleet.tables[kZoneTable].desired_weights.erase(before.begin()->first);
    tables.update(kStart);
    EXPECT_EQ(desired(used).size(), kInterimWidth);
    EXPECT_FALSE(desired(used).contains(before.begin()->first));
    for (auto kept = std::next(before.begin()); kept != before.end(); ++kept) {
        EXPECT_TRUE(desired(used).contains(kept->first));
    }
}

// Guards against replacements that are the same few servers for all interim tables.
TEST_F(InterimTablesTest, ReplacementsAreSpreadOverAllServers) {
    for (int proxy = 0; proxy < 64; ++proxy) {
        assign(proxy);
    }
    for (unsigned id = 0; id < kServers / 2; ++id) {
        fleet.tables[kZoneTable].desired_weights.erase(ServerId{id});
    }
    tables.update(kStart);
    const auto users = users_by_server();
    EXPECT_EQ(users.size(), kServers / 2);
    for (const auto& [server, count] : users) {
        EXPECT_GE(count, 8) << server.value;
        EXPECT_LE(count, 24) << server.value;
    }
}

// Guards against two messages for one drain: a proxy that is assigned a table with a drained
// server, whose removal is not sent yet, must be sent the removal as well.
TEST_F(InterimTablesTest, ATableWithADrainedServerGetsNoMoreUsers) {
    const TableId used = assign(1);
    fleet.tables[kZoneTable].desired_weights.erase(desired(used).begin()->first);
    tables.update(kStart);
    for (int proxy = 2; proxy < 64; ++proxy) {
        EXPECT_NE(assign(proxy), used);
    }
}

// A proxy that uses an interim table keeps it: another one would cost its lines again.
TEST_F(InterimTablesTest, AProxyKeepsItsInterimTable) {
    const TableId used = assign(1);
    for (int proxy = 2; proxy < 20; ++proxy) {
        assign(proxy);
    }
    tables.update(kStart);
    EXPECT_EQ(tables.table_for(kStart, fleet.proxies[{1}], kZoneTable), used);
}

// Without a warm server there is nothing to put in its place.
TEST_F(InterimTablesTest, ATableWithoutAWarmServerIsNotReplaced) {
    for (unsigned id = 0; id < kServers; ++id) {
        fleet.servers[{id}].started_at = kStart - kSecond / 2;
    }
    EXPECT_FALSE(tables.can_replace(kStart, kZoneTable));
}

}  // namespace
}  // namespace badgergrade::policy
