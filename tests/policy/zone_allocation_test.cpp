#include "policy/zone_allocation.h"

#include <gtest/gtest.h>

namespace badgergrade::policy {
namespace {

/// One warm server of weight 1 in each of these zones; -1: its zone is unknown.
std::vector<ServerCapacity> servers(const std::vector<int>& zones) {
    std::vector<ServerCapacity> result;
    for (std::size_t k = 0; k < zones.size(); ++k) {
        result.push_back({{static_cast<unsigned>(k)}, {zones[k]}, 1, 1});
    }
    return result;
}

// The minimum is a whole number of servers. A rounding error (6 * 0.2 is computed as slightly more
// than 1.2) must not add one.
TEST(ZoneAllocation, MinimumAllowsTwentyPercentOverload) {
    EXPECT_EQ(min_servers_for(1.2), 1);
    EXPECT_EQ(min_servers_for(6 * 0.2), 1);
    EXPECT_EQ(min_servers_for(1.3), 2);
    EXPECT_EQ(min_servers_for(0), 0);
}

// The servers of a zone with half the demand and a quarter of the servers would carry twice their
// share: a server moves to it.
TEST(ZoneAllocation, MovesAServerFromSurplusToDeficit) {
    const auto allocation = allocate_zones({0.5, 0.5}, servers({0, 0, 0, 1}), {});
    ASSERT_EQ(allocation.infeasible_reason, "");
    EXPECT_EQ(allocation.usable, (std::vector<double>{2, 2}));
}

// Without a preference for the server that was allocated to the target zone before, a recomputation
// could move another one, and every proxy would open new connections.
TEST(ZoneAllocation, PrefersTheServerThatMovedBefore) {
    const auto allocation = allocate_zones({0.5, 0.5}, servers({0, 0, 0, 1}), {{{2}, {1}}});
    EXPECT_EQ(allocation.zone_of_server.at({2}), ZoneId{1});
    EXPECT_EQ(allocation.zone_of_server.at({0}), ZoneId{0});
}

// A warming server that is allocated to a zone whose own servers then fail would be the only one
// that answers there, and would receive the zone's whole demand.
TEST(ZoneAllocation, WarmingServersStayInTheirZone) {
    auto fleet = servers({0, 0, 0, 1});
    for (auto& server : fleet) {
        server.warming_up = true;
    }
    const auto allocation = allocate_zones({0.5, 0.5}, fleet, {});
    EXPECT_EQ(allocation.usable, (std::vector<double>{3, 1}));
}

// Zone tables are not used if there are fewer than two zones with demand, if a server's zone is
// unknown, or if a zone with demand can't have a server, or not enough servers to be loaded at most
// 20% above their share.
TEST(ZoneAllocation, ReportsWhyItIsInfeasible) {
    EXPECT_EQ(allocate_zones({1, 0}, servers({0, 1}), {}).infeasible_reason,
              "fewer than two zones with demand");
    EXPECT_EQ(allocate_zones({0.5, 0.5}, servers({0}), {}).infeasible_reason,
              "more zones with demand than servers");
    EXPECT_EQ(allocate_zones({0.65, 0.35}, servers({0, 1}), {}).infeasible_reason,
              "zone minimums exceed the listed servers");
    EXPECT_EQ(allocate_zones({0.5, 0.5}, servers({0, 0, 1, -1}), {}).infeasible_reason,
              "a server without a zone");
}

}  // namespace
}  // namespace badgergrade::policy
