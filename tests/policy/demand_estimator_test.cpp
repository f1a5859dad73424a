#include "policy/demand_estimator.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

// Before its first report a proxy counts with the rate that it announced, then with its reports.
TEST(DemandEstimator, ReportsReplaceTheAnnouncedRate) {
    Proxy proxy;
    proxy.announced_rate = 7;
    EXPECT_EQ(requested_rate(kStart, proxy), 7);
    add_demand(kStart, {{1}, {0}, 20, 0, 2 * kSecond}, proxy);
    EXPECT_EQ(requested_rate(kStart, proxy), 10);
}

// The interval of a restarted proxy's first report includes the time when it was down. Used in
// full, it would make the zone's demand appear far lower, and the zone would lose its servers.
TEST(DemandEstimator, ARestartedProxyCountsSinceItsStart) {
    Proxy proxy;
    proxy.process_started_at = kStart - kSecond;
    add_demand(kStart, {{1}, {0}, 20, 0, 10 * kSecond}, proxy);
    EXPECT_EQ(requested_rate(kStart, proxy), 20);
}

// An instance with proxies of one zone must not take that zone for the whole demand: proxies that
// it does not know count with the average rate, in the other zones.
TEST(DemandEstimator, UnknownProxiesCountInTheOtherZones) {
    FleetState fleet = empty_fleet(2);
    add_proxy(fleet, 1, 0, 10);
    add_proxy(fleet, 2, 0, 10);
    const auto shares = measure_demand_shares(kStart, fleet, 4);
    EXPECT_DOUBLE_EQ(shares[0], 0.5);
    EXPECT_DOUBLE_EQ(shares[1], 0.5);
}

// Without a hold-down tables would follow every fluctuation. A change is adopted after three
// recomputations in a row in which a share was off by at least one server.
TEST(DemandEstimator, AdoptsAChangeAfterThreeRecomputations) {
    FleetState fleet = empty_fleet(2);
    for (unsigned id = 0; id < 10; ++id) {
        add_server(fleet, id, 0);
    }
    add_proxy(fleet, 1, 0, 10);
    Proxy& second = add_proxy(fleet, 2, 1, 10);
    DemandEstimator estimator(2, 2, kStart);
    EXPECT_TRUE(estimator.update(kStart + kRecomputeInterval, fleet));
    second.announced_rate = 30;
    for (int round = 2; round <= 3; ++round) {
        estimator.update(kStart + round * kRecomputeInterval, fleet);
        EXPECT_DOUBLE_EQ(estimator.shares()[1], 0.5);
    }
    estimator.update(kStart + 4 * kRecomputeInterval, fleet);
    EXPECT_DOUBLE_EQ(estimator.shares()[1], 0.75);
}

// A zone that the only instance can't reach would be allocated servers of the other zones.
TEST(DemandEstimator, AnUnreachableZoneIsLimitedToItsOwnServers) {
    FleetState fleet = empty_fleet(2);
    add_proxy(fleet, 1, 0, 10);
    Proxy& away = add_proxy(fleet, 2, 1, 10);
    away.connected = false;
    away.disconnected_at = kStart - kRecomputeInterval;
    const std::vector<ServerCapacity> servers{
        {{0}, {0}, 1, 1}, {{1}, {0}, 1, 1}, {{2}, {0}, 1, 1}, {{3}, {1}, 1, 1}};
    const auto only = reachable_demand(kStart, fleet, {0.5, 0.5}, servers, true);
    EXPECT_DOUBLE_EQ(only[1], 0.25 / 0.75);
    const auto one_of_many = reachable_demand(kStart, fleet, {0.5, 0.5}, servers, false);
    EXPECT_DOUBLE_EQ(one_of_many[1], 0.5);
}

}  // namespace
}  // namespace badgergrade::policy
