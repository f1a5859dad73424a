#include "policy/table_planner.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

constexpr Micros kFast{20'000};

class TablePlannerTest : public testing::Test {
protected:
    TablePlannerTest() {
        for (unsigned id = 0; id < 6; ++id) {
            add_server(fleet, id, static_cast<int>(id % 2));
        }
        add_proxy(fleet, 1, 0, 10);
        add_proxy(fleet, 2, 1, 10);
    }

    std::optional<std::string> update(Micros now) {
        demand.update(now, fleet);
        return planner.update(now, fleet, outliers, slow_start, required, demand);
    }

    std::size_t width(TableId table) { return fleet.tables[table].desired_weights.size(); }

    Settings settings = basic_settings(2);
    FleetState fleet = empty_fleet(2);
    OutlierDetector outliers{2, kObjective, kNoCpuColumn};
    SlowStart slow_start{settings, kObjective, kStart};
    DemandEstimator demand{2, 2, kStart};
    RequiredCapacity required{settings};
    TablePlanner planner{settings};
};

// The ordinary case: each zone's table holds its own servers, the full table all of them.
TEST_F(TablePlannerTest, ZoneTablesHoldTheAllocatedServers) {
    EXPECT_EQ(update(kStart), std::nullopt);
    EXPECT_FALSE(planner.full_table_mode());
    EXPECT_EQ(width({0}), 3U);
    EXPECT_EQ(width({1}), 3U);
    EXPECT_EQ(width(fleet.full_table()), 6U);
}

// In a table of two servers a warming server receives half of the zone's attempts, whatever its
// weight, and all of them while proxies avoid the other: it collapses (two-governors.day, seeds 115
// and 119).
TEST_F(TablePlannerTest, ANarrowTableHasNoWarmingServerBesideASingleWarmOne) {
    settings.slow_start_window = 16 * kSecond;
    settings.overload_collapse_factor = 4;
    settings.initial_capacity_fraction = 0.2;
    const Micros long_ago = kStart - 30 * kSecond;
    SlowStart warming{settings, kObjective, long_ago};
    warming.update_expected_overload(kStart, {}, false, fleet);
    TablePlanner careful{settings};
    const auto names_warming_server = [&](TableId table) {
        demand.update(kStart, fleet);
        careful.update(kStart, fleet, outliers, warming, required, demand);
        return fleet.tables[table].desired_weights.contains({0});
    };
    fleet.servers[{0}].started_at = kStart - 8 * kSecond;
    fleet.servers[{0}].start_reported_at = kStart - 7 * kSecond;
    EXPECT_TRUE(names_warming_server({0}));
    fleet.servers[{2}].state = ServerState::Gone;
    fleet.servers[{3}].state = ServerState::Gone;
    EXPECT_FALSE(names_warming_server({0}));
    EXPECT_TRUE(names_warming_server(fleet.full_table()));
}

// If zone tables can't keep the load ceiling all proxies use the full table. That is logged once,
// and zone tables return only after the hold-down, to prevent flapping.
TEST_F(TablePlannerTest, InfeasibleMeansTheFullTableUntilTheHoldDownIsOver) {
    demand.update(kStart + kRecomputeInterval, fleet);
    add_server(fleet, 9, -1);
    EXPECT_EQ(update(kStart + kRecomputeInterval),
              "all proxies use the full table: a server without a zone");
    EXPECT_EQ(update(kStart + kRecomputeInterval), std::nullopt);
    fleet.servers.erase({9});
    for (int round = 1; round <= kHoldDownRecomputations; ++round) {
        EXPECT_EQ(update(kStart + kRecomputeInterval), std::nullopt);
        EXPECT_TRUE(planner.full_table_mode());
        planner.on_demand_recomputed();
    }
    EXPECT_EQ(update(kStart + kRecomputeInterval), "proxies use zone tables again");
}

// If all servers of a zone are ejected, its local-only operations would have no server: the table
// then contains them all.
TEST_F(TablePlannerTest, EjectionsNeverEmptyALocalOnlyTable) {
    fleet.operations = {3, 2, 1};
    for (unsigned id = 0; id < 6; ++id) {
        outliers.on_load_report(
            kStart, load_report(static_cast<int>(id % 2), id, 20, id % 2 == 0 ? 20 : 0, kFast));
    }
    outliers.evaluate(kStart, fleet, outliers.fleet_stats(kStart, fleet));
    ASSERT_TRUE(outliers.is_ejected({0}, {0}));
    update(kStart);
    EXPECT_EQ(width(fleet.local_only_table({0})), 3U);
}

// The load of a zone is its demand per usable weight, in units of the mean; a zone without servers
// counts as overloaded and does not cause a division by zero.
TEST(WorstZoneLoad, IsTheLoadOfTheMostLoadedZone) {
    std::vector<ZoneHealth> health(2);
    EXPECT_DOUBLE_EQ(worst_zone_load({0.5, 0.5}, {1, 3}, health, ZoneFilter::All), 2);
    EXPECT_EQ(worst_zone_load({0.5, 0.5}, {1, 3}, health, ZoneFilter::Degraded), 0);
    health[1].condition = ZoneCondition::Degraded;
    EXPECT_DOUBLE_EQ(worst_zone_load({0.5, 0.5}, {1, 3}, health, ZoneFilter::Degraded), 2.0 / 3);
    EXPECT_GT(worst_zone_load({0.5, 0.5}, {0, 4}, health, ZoneFilter::All), 1e6);
}

}  // namespace
}  // namespace badgergrade::policy
