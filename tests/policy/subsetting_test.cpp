#include "policy/subsetting.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

constexpr unsigned kServers = 48;

class SubsettingTest : public testing::Test {
protected:
    SubsettingTest() {
        for (unsigned id = 0; id < kServers; ++id) {
            add_server(fleet, id, 0).subset_hash = (id + 0.5) / kServers;
            fleet.tables[FleetState::zone_table({0})].desired_weights[{id}] = 1;
        }
        for (int id = 0; id < 8; ++id) {
            add_proxy(fleet, id, 0, 1);
        }
    }

    void report(Micros now, int failures_of_hundred) {
        for (unsigned id = 0; id < kServers; ++id) {
            outliers.on_load_report(now,
                                    load_report(0, id, 100, failures_of_hundred, kSecond / 50));
        }
        outliers.evaluate(now, fleet, outliers.fleet_stats(now, fleet));
    }

    FleetState fleet = empty_fleet(1);
    OutlierDetector outliers{1, kObjective, kNoCpuColumn};
    SlowStart slow_start{basic_settings(1), kObjective, kStart};
    Subsetting subsetting{1, kSecond};
};

// A healthy zone keeps its complete table, however wide: subsets distribute load less evenly.
TEST_F(SubsettingTest, AHealthyZoneIsNotSplit) {
    report(kStart, 0);
    EXPECT_TRUE(subsetting.update(kStart, fleet, outliers, slow_start).empty());
    EXPECT_EQ(subsetting.count({0}), 1);
}

// In a degraded zone whose table has far more servers than a proxy keeps connections open, nearly
// every invocation opens a connection. The table is halved until each subset has twelve servers;
// every server is in one subset, and every proxy uses one.
TEST_F(SubsettingTest, ADegradedWideZoneIsSplit) {
    report(kStart, 10);
    const auto changes = subsetting.update(kStart, fleet, outliers, slow_start);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].count, 4);
    std::size_t servers = 0;
    for (int subset = 0; subset < 4; ++subset) {
        servers += fleet.tables[fleet.subset_table({0}, subset, false)].desired_weights.size();
    }
    EXPECT_EQ(servers, kServers);
    std::map<int, int> proxies;
    for (const auto& [id, proxy] : fleet.proxies) {
        ++proxies[proxy.subset];
    }
    EXPECT_EQ(proxies, (std::map<int, int>{{0, 2}, {1, 2}, {2, 2}, {3, 2}}));
}

// A split that ended together with the degradation would soon be made again, and so on; it lasts
// fifteen seconds longer.
TEST_F(SubsettingTest, ASplitOutlastsTheDegradation) {
    report(kStart, 10);
    subsetting.update(kStart, fleet, outliers, slow_start);
    report(kStart + 10 * kSecond, 0);
    subsetting.update(kStart + 10 * kSecond, fleet, outliers, slow_start);
    EXPECT_EQ(subsetting.count({0}), 4);
    subsetting.update(kStart + 15 * kSecond, fleet, outliers, slow_start);
    EXPECT_EQ(subsetting.count({0}), 1);
    EXPECT_EQ(fleet.proxies[{0}].subset, -1);
}

// The proxies of a subset whose weight has fallen to half of the mean or less would overload its
// remaining servers: they move to another subset.
TEST_F(SubsettingTest, ProxiesLeaveASubsetThatLostItsServers) {
    ZoneSubsets subsets;
    subsets.count = 2;
    subsets.rate = {0, 0};
    subsets.weight = {1, 10};
    fleet.proxies[{0}].subset = 0;
    assign_proxies({0}, subsets, fleet);
    EXPECT_EQ(fleet.proxies[{0}].subset, 1);
    EXPECT_EQ(subsets.rate[0], 0);
}

}  // namespace
}  // namespace badgergrade::policy
