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
            add_server(fleet_, id, 0).subset_hash = (id + 0.5) / kServers;
            fleet_.tables[FleetState::zone_table({0})].desired_weights[{id}] = 1;
        }
        for (int id = 0; id < 8; ++id) {
            add_proxy(fleet_, id, 0, 1);
        }
    }

    void report(Micros now, int failures_of_hundred) {
        for (unsigned id = 0; id < kServers; ++id) {
            outliers_.on_load_report(now,
                                     load_report(0, id, 100, failures_of_hundred, kSecond / 50));
        }
        outliers_.evaluate(now, fleet_, outliers_.fleet_stats(now, fleet_));
    }

    FleetState fleet_ = empty_fleet(1);
    OutlierDetector outliers_{1, kObjective, kNoCpuColumn};
    SlowStart slow_start_{basic_settings(1), kObjective, kStart};
    Subsetting subsetting_{1, kSecond};
};

// A healthy zone keeps its whole table, however wide: subsets cost evenness.
TEST_F(SubsettingTest, AHealthyZoneIsNotSplit) {
    report(kStart, 0);
    EXPECT_TRUE(subsetting_.update(kStart, fleet_, outliers_, slow_start_).empty());
    EXPECT_EQ(subsetting_.count({0}), 1);
}

// In a degraded zone whose table is far wider than its proxies' connections nearly every invocation
// opens a connection. The table is halved until twelve servers are left in each, every server is in
// one subset, and every proxy has one.
TEST_F(SubsettingTest, ADegradedWideZoneIsSplit) {
    report(kStart, 10);
    const auto changes = subsetting_.update(kStart, fleet_, outliers_, slow_start_);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].count, 4);
    std::size_t servers = 0;
    for (int subset = 0; subset < 4; ++subset) {
        servers += fleet_.tables[fleet_.subset_table({0}, subset, false)].desired_weights.size();
    }
    EXPECT_EQ(servers, kServers);
    std::map<int, int> proxies;
    for (const auto& [id, proxy] : fleet_.proxies) {
        ++proxies[proxy.subset];
    }
    EXPECT_EQ(proxies, (std::map<int, int>{{0, 2}, {1, 2}, {2, 2}, {3, 2}}));
}

// A split that ended with the degradation at once would flap; it lasts fifteen seconds more.
TEST_F(SubsettingTest, ASplitOutlastsTheDegradation) {
    report(kStart, 10);
    subsetting_.update(kStart, fleet_, outliers_, slow_start_);
    report(kStart + 10 * kSecond, 0);
    subsetting_.update(kStart + 10 * kSecond, fleet_, outliers_, slow_start_);
    EXPECT_EQ(subsetting_.count({0}), 4);
    subsetting_.update(kStart + 15 * kSecond, fleet_, outliers_, slow_start_);
    EXPECT_EQ(subsetting_.count({0}), 1);
    EXPECT_EQ(fleet_.proxies[{0}].subset, -1);
}

// A subset that has lost most of its servers would overload the rest: its proxies move.
TEST_F(SubsettingTest, ProxiesLeaveASubsetThatLostItsServers) {
    ZoneSubsets subsets;
    subsets.count = 2;
    subsets.rate = {0, 0};
    subsets.weight = {1, 10};
    fleet_.proxies[{0}].subset = 0;
    assign_proxies({0}, subsets, fleet_);
    EXPECT_EQ(fleet_.proxies[{0}].subset, 1);
    EXPECT_EQ(subsets.rate[0], 0);
}

}  // namespace
}  // namespace badgergrade::policy
