#include "policy/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

constexpr unsigned kServersOfZone0 = 96;
constexpr unsigned kServersOfZone1 = 40;
constexpr int kProxiesOfZone = 16;

/// Two degraded zones, with eight and with four subsets.
class SplitZonesTest : public testing::Test {
protected:
    SplitZonesTest() {
        event::EndpointListUpdate list{UpdateKind::Snapshot, {}};
        for (unsigned id = 0; id < kServersOfZone0 + kServersOfZone1; ++id) {
            list.endpoints.push_back({{id}, zone_of(id)});
        }
        planner.on_event(now, list);
        for (int proxy = 0; proxy < 2 * kProxiesOfZone; ++proxy) {
            const ZoneId zone{proxy / kProxiesOfZone};
            const double rate = zone.value == 0 ? 2.4 : 1;
            planner.on_event(now, event::ProxyConnected{{proxy}, true, zone, rate});
        }
        for (unsigned id = 0; id < kServersOfZone0 + kServersOfZone1; ++id) {
            planner.on_event(now, load_report(zone_of(id).value, id, 100, 10, kSecond / 50));
        }
        decide();
    }

    static ZoneId zone_of(unsigned server) { return {server < kServersOfZone0 ? 0 : 1}; }

    void decide() {
        for (const Command& command : planner.decide(now)) {
            if (const auto* assignment = std::get_if<command::AssignTable>(&command)) {
                tables[assignment->proxy] = assignment->table;
            }
        }
        now += kSecond / 4;
    }

    std::set<TableId> tables_of(int first, int last) {
        std::set<TableId> used;
        for (int proxy = first; proxy <= last; ++proxy) {
            used.insert(tables[{proxy}]);
        }
        return used;
    }

    Micros now = kStart;
    Planner planner{basic_settings(2), 1, kStart};
    std::map<ProxyId, TableId> tables;
};

// Guards against a read past the end of the subset weights: a proxy that reconnects in a zone with
// fewer subsets kept its subset number.
TEST_F(SplitZonesTest, AProxyThatChangesZonesGetsASubsetOfItsNewZone) {
    ASSERT_EQ(tables_of(0, kProxiesOfZone - 1).size(), 8U);
    ASSERT_EQ(tables_of(kProxiesOfZone, 2 * kProxiesOfZone - 1).size(), 4U);
    // The two proxies in the subsets with the highest numbers of the eight.
    std::vector<std::pair<TableId, ProxyId>> by_table;
    for (int proxy = 0; proxy < kProxiesOfZone; ++proxy) {
        by_table.emplace_back(tables[{proxy}], ProxyId{proxy});
    }
    std::sort(by_table.rbegin(), by_table.rend());
    by_table.resize(2);
    for (const auto& [table, proxy] : by_table) {
        planner.on_event(now, event::ProxyDisconnected{proxy});
        planner.on_event(now, event::ProxyConnected{proxy, false, {1}, 0});
    }
    decide();
    const std::set<TableId> of_zone_1 = tables_of(kProxiesOfZone, 2 * kProxiesOfZone - 1);
    for (const auto& [table, proxy] : by_table) {
        EXPECT_TRUE(of_zone_1.contains(tables[proxy]));
    }
}

}  // namespace
}  // namespace badgergrade::policy
