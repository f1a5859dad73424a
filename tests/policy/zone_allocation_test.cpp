#include "policy/zone_allocation.h"

#include <gtest/gtest.h>

namespace badgergrade::policy {
namespace {

std::vector<ServerCapacity> servers(const std::vector<int>& zones) {
    std::vector<ServerCapacity> result;
    for (std::size_t k = 0; k < zones.size(); ++k) {
        result.push_back({{static_cast<unsigned>(k)}, {zones[k]}, 1, 1});
    }
    return result;
}

// The minimum is a whole number of servers. Rounding of sums must not ask for one more.
TEST(ZoneAllocation, MinimumAllowsTwentyPercentOverload) {
    EXPECT_EQ(min_servers_for(1.2), 1);
    EXPECT_EQ(min_servers_for(6 * 0.2), 1);
    EXPECT_EQ(min_servers_for(1.3), 2);
    EXPECT_EQ(min_servers_for(0), 0);
}

// A zone with half the demand and a quarter of the servers would carry twice its share: a server
// moves to it.
TEST(ZoneAllocation, MovesAServerFromSurplusToDeficit) {
    const auto allocation = allocate_zones({0.5, 0.5}, servers({0, 0, 0, 1}), {});
    ASSERT_EQ(allocation.infeasible_reason, "");
    EXPECT_EQ(allocation.usable, (std::vector<double>{2, 2}));
}

// Without a preference for the server that stood there, each recomputation would move another one
// and every proxy would open new connections.
TEST(ZoneAllocation, PrefersTheServerThatMovedBefore) {
    const auto allocation = allocate_zones({0.5, 0.5}, servers({0, 0, 0, 1}), {{{2}, {1}}});
    EXPECT_EQ(allocation.zone_of_server.at({2}), ZoneId{1});
    EXPECT_EQ(allocation.zone_of_server.at({0}), ZoneId{0});
}

// A server that is warming up, lent to a zone whose own servers then die, would be the only one
// that answers there and would meet the zone's whole demand.
TEST(ZoneAllocation, WarmingServersStayAtHome) {
    auto fleet = servers({0, 0, 0, 1});
    for (auto& server : fleet) {
        server.warming_up = true;
    }
    const auto allocation = allocate_zones({0.5, 0.5}, fleet, {});
    EXPECT_EQ(allocation.usable, (std::vector<double>{3, 1}));
}

// Where zones can't each have a server, or not enough of them, zone tables can't keep the ceiling.
TEST(ZoneAllocation, SaysWhyItIsInfeasible) {
    EXPECT_EQ(allocate_zones({1, 0}, servers({0, 1}), {}).infeasible_reason, "under two zones");
    EXPECT_EQ(allocate_zones({0.5, 0.5}, servers({0}), {}).infeasible_reason,
              "more zones than servers");
    EXPECT_EQ(allocate_zones({0.65, 0.35}, servers({0, 1}), {}).infeasible_reason,
              "minimums exceed the servers");
    EXPECT_EQ(allocate_zones({0.5, 0.5}, servers({0, 0, 1, -1}), {}).infeasible_reason,
              "a server without a zone");
}

}  // namespace
}  // namespace badgergrade::policy
