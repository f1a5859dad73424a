#include "policy/endpoint_list.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

Endpoint endpoint(unsigned id, ServerState state = ServerState::Ready, Micros started_at = {}) {
    return {{id}, {0}, state, 2, started_at};
}

class EndpointListTest : public testing::Test {
protected:
    void apply(EndpointList& list, UpdateKind kind, std::vector<Endpoint> endpoints) {
        list.apply(kStart, {kind, std::move(endpoints)}, fleet, outliers);
    }

    FleetState fleet = empty_fleet(1);
    OutlierDetector outliers{1, kObjective, kNoCpuColumn};
    Settings settings = basic_settings(1);
};

// A snapshot lists all servers: one that is missing is gone, or proxies would keep using it.
TEST_F(EndpointListTest, ASnapshotRemovesUnlistedServers) {
    EndpointList list(settings, 1);
    apply(list, UpdateKind::Snapshot, {endpoint(1), endpoint(2)});
    apply(list, UpdateKind::Delta, {endpoint(3)});
    EXPECT_TRUE(fleet.is_ready({1}));
    apply(list, UpdateKind::Snapshot, {endpoint(2)});
    EXPECT_FALSE(fleet.is_ready({1}));
    EXPECT_TRUE(fleet.is_ready({2}));
}

// A list that falls back to an old state omits most of a live fleet. If only a listed drain is
// binding, servers that answer stay in use, and those that fail are removed.
TEST_F(EndpointListTest, UnlistedServersStayWhileTheyAnswer) {
    settings.keep_unlisted_servers = true;
    EndpointList list(settings, 1);
    apply(list, UpdateKind::Snapshot, {endpoint(1), endpoint(2)});
    outliers.on_load_report(kStart, load_report(0, 1, 10, 0, kSecond / 50));
    outliers.on_load_report(kStart, load_report(0, 2, 10, 9, kSecond / 50));
    apply(list, UpdateKind::Snapshot, {});
    EXPECT_TRUE(fleet.is_ready({2}));
    list.remove_unresponsive(kStart, fleet, outliers);
    EXPECT_TRUE(fleet.is_ready({1}));
    EXPECT_FALSE(fleet.is_ready({2}));
}

// A listed drain is always applied.
TEST_F(EndpointListTest, AListedDrainIsAppliedAtOnce) {
    settings.keep_unlisted_servers = true;
    EndpointList list(settings, 1);
    apply(list, UpdateKind::Snapshot, {endpoint(1)});
    apply(list, UpdateKind::Delta, {endpoint(1, ServerState::Draining)});
    EXPECT_FALSE(fleet.is_ready({1}));
}

// Live weights change with the load; used as capacity they would send everything to the server that
// is idle at the moment.
TEST_F(EndpointListTest, LiveWeightsAreNotCapacity) {
    settings.listed_weights = ListedWeights::Live;
    EndpointList live(settings, 1);
    apply(live, UpdateKind::Delta, {endpoint(1)});
    EXPECT_EQ(fleet.servers[{1}].weight, 1);
    settings.listed_weights = ListedWeights::Nominal;
    EndpointList nominal(settings, 1);
    apply(nominal, UpdateKind::Delta, {endpoint(1)});
    EXPECT_EQ(fleet.servers[{1}].weight, 2);
}

// A server that restarts must keep its subset, or its proxies would all open new connections.
TEST_F(EndpointListTest, ARestartKeepsTheSubsetHash) {
    EndpointList list(settings, 1);
    apply(list, UpdateKind::Delta, {endpoint(1)});
    const double hash = fleet.servers[{1}].subset_hash;
    EXPECT_GE(hash, 0);
    EXPECT_LT(hash, 1);
    apply(list, UpdateKind::Delta, {endpoint(1, ServerState::Gone)});
    apply(list, UpdateKind::Delta, {endpoint(1, ServerState::Ready, kStart)});
    EXPECT_EQ(fleet.servers[{1}].subset_hash, hash);
    EXPECT_EQ(fleet.servers[{1}].start_reported_at, kStart);
}

// Guards against subset hashes that differ between kinds of machine, where the standard library's
// distributions take another number of draws: each is one number of the generator.
TEST_F(EndpointListTest, SubsetHashesAreTheSameOnEveryMachine) {
    EndpointList list(settings, 7);
    apply(list, UpdateKind::Snapshot, {endpoint(1), endpoint(2), endpoint(3)});
    EXPECT_EQ(fleet.servers[{1}].subset_hash, 11770281 * 0x1.0p-24);
    EXPECT_EQ(fleet.servers[{2}].subset_hash, 9409582 * 0x1.0p-24);
    EXPECT_EQ(fleet.servers[{3}].subset_hash, 3139026 * 0x1.0p-24);
}

}  // namespace
}  // namespace badgergrade::policy
