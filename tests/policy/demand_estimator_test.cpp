#include "policy/demand_estimator.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

// Before a proxy reports, what it announced stands for it; then its reports do.
TEST(DemandEstimator, ReportsReplaceTheAnnouncedRate) {
    Proxy proxy;
    proxy.announced_rate = 7;
    EXPECT_EQ(requested_rate(kStart, proxy), 7);
    add_demand(kStart, {{1}, {0}, 20, 0, 2 * kSecond}, proxy);
    EXPECT_EQ(requested_rate(kStart, proxy), 10);
}

// The first report of a restarted proxy reaches back over the time it was dead. Taken whole its
// zone would seem to ask for a fraction, and would lose its servers.
TEST(DemandEstimator, ARestartedProxyCountsSinceItsStart) {
    Proxy proxy;
    proxy.process_started_at = kStart - kSecond;
    add_demand(kStart, {{1}, {0}, 20, 0, 10 * kSecond}, proxy);
    EXPECT_EQ(requested_rate(kStart, proxy), 20);
}

// An instance that hears one zone alone must not take it for the whole demand: the unheard proxies
// count as average and stand in the other zones.
TEST(DemandEstimator, UnheardProxiesStandInTheOtherZones) {
    FleetState fleet = empty_fleet(2);
    add_proxy(fleet, 1, 0, 10);
    add_proxy(fleet, 2, 0, 10);
    const auto shares = measure_demand_shares(kStart, fleet, 4);
    EXPECT_DOUBLE_EQ(shares[0], 0.5);
    EXPECT_DOUBLE_EQ(shares[1], 0.5);
}

// Without a hold-down tables would follow every fluctuation. A change is adopted after three
// rounds in which a whole server was off.
TEST(DemandEstimator, AdoptsAChangeAfterThreeRounds) {
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

// A zone that the only instance can't reach would draw servers from the zones that go on.
TEST(DemandEstimator, AnUnreachableZoneAsksForItsOwnServersAlone) {
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
