#include "policy/collapse_protection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

/// One table; a warming server of weight 1 is 8 of 16 s old and withstands 4 x 0.6 = 2.4.
class CollapseProtectionTest : public testing::Test {
protected:
    void add_warm(unsigned id) { add_server(fleet, id, 0); }

    void add_warming(unsigned id) {
        Server& server = add_server(fleet, id, 0);
        server.started_at = kStart - 8 * kSecond;
        server.start_reported_at = kStart - 7 * kSecond;
    }

    /// The servers of the table if slow start gave the warming ones half of their weight.
    std::set<unsigned> protect(std::optional<double> required) {
        table.desired_weights.clear();
        demand.usable.clear();
        for (const auto& [id, server] : fleet.servers) {
            const bool is_ejected = std::ranges::count(demand.ejected, id) > 0;
            if (!is_ejected) {
                demand.usable.push_back(id);
                table.desired_weights[id] = slow_start.is_warming_up(kStart, server) ? 0.5 : 1;
            }
        }
        return apply(required);
    }

    std::set<unsigned> apply(std::optional<double> required) {
        demand.required_weight = required;
        demand.is_failing = [this](ServerId id) {
            return failing.contains(id.value);
        };
        protect_warming_servers(kStart, demand, fleet, slow_start, table);
        std::set<unsigned> servers;
        for (const auto& [id, weight] : table.desired_weights) {
            servers.insert(id.value);
        }
        return servers;
    }

    using Servers = std::set<unsigned>;
    Settings settings = warming_settings(0.2);
    FleetState fleet = empty_fleet(1);
    SlowStart slow_start{settings, kObjective, kStart};
    Table table;
    TableDemand demand;
    std::set<unsigned> failing;
};

// Guards against a lone warming server that gets the demand of several (review/2): it may be in the
// table only if it withstands the demand with a reserve.
TEST_F(CollapseProtectionTest, ATableRestsOnWarmingServersOnlyIfTheyWithstandItsDemand) {
    add_warming(1);
    EXPECT_EQ(protect(1.7), Servers{});
    EXPECT_EQ(protect(1.5), Servers{1});
    add_warming(2);
    add_warming(3);
    EXPECT_EQ(protect(4.9), Servers{});
    EXPECT_EQ(protect(4.7), (Servers{1, 2, 3}));
}

// Guards against an instance that has just started and takes the few servers that it sees for all
// that are needed: a demand that is not known may be of any size.
TEST_F(CollapseProtectionTest, WithoutAKnownDemandNoTableRestsOnWarmingServers) {
    add_warming(1);
    add_warming(2);
    EXPECT_EQ(protect(std::nullopt), Servers{});
    add_warm(3);
    EXPECT_EQ(protect(std::nullopt), Servers{3});
}

// Guards against a server that is named before the attempts of tables that this instance did not
// send are out of the collapse window: it withstands nothing yet.
TEST_F(CollapseProtectionTest, AServerWhoseStartWasJustReportedWithstandsNothing) {
    add_warming(1);
    fleet.servers[{1}].start_reported_at = kStart - kSecond / 2;
    EXPECT_EQ(protect(0.1), Servers{});
}

// Guards against flapping: servers that are in the table stay with a smaller reserve.
TEST_F(CollapseProtectionTest, PublishedServersStayWithASmallerReserve) {
    add_warming(1);
    table.published_weights[{1}] = 0.5;
    EXPECT_EQ(protect(1.7), Servers{1});
    EXPECT_EQ(protect(2), Servers{});
}

// Guards against warm servers that can't carry the demand: proxies avoid them while they are
// overloaded, and the warming one beside them gets everything (two-governors.day, seed 204).
TEST_F(CollapseProtectionTest, AnOverloadOfTheWarmServersKeepsWarmingOnesOut) {
    for (unsigned id = 1; id <= 5; ++id) {
        add_warm(id);
    }
    add_warming(6);
    EXPECT_EQ(protect(10.9).size(), 6U);
    EXPECT_EQ(protect(11.1), (Servers{1, 2, 3, 4, 5}));
}

// In a table of two servers a warming server receives half of the attempts, whatever its weight,
// and all of them while proxies avoid the other (two-governors.day, seeds 115 and 119); unless it
// withstands all of them.
TEST_F(CollapseProtectionTest, ANarrowTableHasNoWarmingServerBesideASingleWarmOne) {
    add_warm(1);
    add_warming(2);
    EXPECT_EQ(protect(2), Servers{1});
    EXPECT_EQ(protect(1.5), (Servers{1, 2}));
    add_warm(3);
    EXPECT_EQ(protect(2), (Servers{1, 2, 3}));
}

// Guards against warm servers that have crashed and are listed still: proxies avoid them, and the
// warming one gets everything. So do its neighbours that have collapsed.
TEST_F(CollapseProtectionTest, FailingServersDoNotCount) {
    add_warm(1);
    add_warm(2);
    add_warm(3);
    add_warming(4);
    failing = {1, 2};
    EXPECT_EQ(protect(4), (Servers{1, 2, 3}));
    fleet.servers.clear();
    add_warming(4);
    add_warming(5);
    failing = {5};
    EXPECT_EQ(protect(2), Servers{});
}

// Guards against a table that rests on warming servers because its warm ones are ejected: a warm
// server that is listed ends the time in which a proxy may be without one.
TEST_F(CollapseProtectionTest, EjectedWarmServersAreBetterThanNone) {
    add_warm(1);
    add_warming(2);
    demand.ejected = {{1}};
    EXPECT_EQ(protect(4), Servers{1});
    EXPECT_EQ(protect(1.5), Servers{2});
}

// In a severe overload slow start gives warming servers no weight. If there are no others and they
// withstand the demand, the table contains them all the same.
TEST_F(CollapseProtectionTest, AnOverloadDoesNotEmptyATableThatItsServersWithstand) {
    add_warming(1);
    add_warming(2);
    demand.usable = {{1}, {2}};
    EXPECT_EQ(apply(3), (Servers{1, 2}));
}

// Where admission limits keep the demand low, a table may rest on any warming server that takes
// part.
TEST_F(CollapseProtectionTest, AdmissionLimitsAllowAnyWarmingServer) {
    demand.limited_by_admission = true;
    add_warming(1);
    EXPECT_EQ(protect(100), Servers{1});
    EXPECT_EQ(protect(std::nullopt), Servers{1});
}

// Servers that never collapse are never left out, also right after their start was reported.
TEST_F(CollapseProtectionTest, WithoutCollapsesNothingChanges) {
    settings.overload_collapse_factor = 0;
    slow_start = SlowStart(settings, kObjective, kStart);
    add_warming(1);
    EXPECT_EQ(protect(100), Servers{1});
    EXPECT_EQ(protect(std::nullopt), Servers{1});
    fleet.servers[{1}].start_reported_at = kStart;
    table.desired_weights.clear();
    EXPECT_EQ(apply(100), Servers{1});
}

}  // namespace
}  // namespace badgergrade::policy
