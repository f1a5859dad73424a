// The number of subsets of each zone, their tables and their proxies; subsetting.h describes the
// rule.
#include "policy/subsetting.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace badgergrade::policy {
namespace {

/// The least width, in servers, down to which a table is split for refused connections: a single
/// failed server must not make up a whole subset.
constexpr double kMinRefusingSubsetWidth = 3;
/// A split lasts this long after the zone was last degraded, to prevent flapping.
constexpr Micros kSplitHoldTime = kHoldDownRecomputations * kRecomputeInterval;
/// The time that a split gets to show its effect before the next one.
constexpr Micros kSplitInterval = 2 * kAckTimeout;
/// The least announced rate, in invocations per second, that a proxy counts with.
constexpr double kMinRate = 0.01;

double announced_rate(const Proxy& proxy) {
    return std::max(kMinRate, proxy.announced_rate);
}

}  // namespace

std::optional<std::size_t> least_loaded(const std::vector<double>& rate,
                                        const std::vector<double>& weight, double more,
                                        double min_weight) {
    std::optional<std::size_t> best;
    double lowest = 0;
    for (std::size_t part = 0; part < weight.size(); ++part) {
        if (weight[part] <= min_weight) {
            continue;
        }
        const double load = (rate[part] + more) / weight[part];
        if (!best || load < lowest) {
            best = part;
            lowest = load;
        }
    }
    return best;
}

void assign_proxies(ZoneId zone, ZoneSubsets& subsets, FleetState& fleet) {
    const double min_weight =
        std::accumulate(subsets.weight.begin(), subsets.weight.end(), 0.0) / subsets.count / 2;
    std::vector<std::pair<double, ProxyId>> busiest_first;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (proxy.connected && proxy.zone == zone) {
            busiest_first.emplace_back(-announced_rate(proxy), id);
        }
    }
    std::sort(busiest_first.begin(), busiest_first.end());
    std::vector<ProxyId> unassigned;
    for (const auto& [negative_rate, id] : busiest_first) {
        Proxy& proxy = fleet.proxies[id];
        const auto subset = static_cast<std::size_t>(std::max(0, proxy.subset));
        if (proxy.subset >= 0 && subsets.weight[subset] > min_weight) {
            subsets.rate[subset] += announced_rate(proxy);
        } else {
            unassigned.push_back(id);
        }
    }
    for (const ProxyId id : unassigned) {
        Proxy& proxy = fleet.proxies[id];
        const auto subset =
            least_loaded(subsets.rate, subsets.weight, announced_rate(proxy), min_weight);
        proxy.subset = subset ? static_cast<int>(*subset) : -1;
        if (subset) {
            subsets.rate[*subset] += announced_rate(proxy);
        }
    }
}

Subsetting::Subsetting(int zone_count, Micros connection_idle_timeout)
    : idle_seconds_(to_seconds(connection_idle_timeout)),
      zones_(static_cast<std::size_t>(zone_count)) {}

std::vector<SubsetCountChange> Subsetting::update(Micros now, FleetState& fleet,
                                                  const OutlierDetector& outliers,
                                                  const SlowStart& slow_start) {
    std::vector<SubsetCountChange> changes;
    for (ZoneId zone{0}; zone.value < fleet.zone_count; ++zone.value) {
        ZoneSubsets& subsets = zones_[index_of(zone)];
        const int count_before = subsets.count;
        update_count(now, zone, fleet, outliers.health(zone));
        // Evaluated in this order because warming_fraction() scans all servers.
        if (now >= subsets.split_until ||
            slow_start.warming_fraction(now, fleet) > kManyWarmingFraction / 2) {
            subsets.count = 1;
        }
        if (subsets.count != count_before) {
            changes.push_back({zone, subsets.count});
            for (auto& [id, proxy] : fleet.proxies) {
                if (proxy.zone == zone) {
                    proxy.subset = -1;
                }
            }
        }
        fill_tables(now, zone, fleet, slow_start);
        if (subsets.count > 1) {
            assign_proxies(zone, subsets, fleet);
        }
    }
    return changes;
}

void Subsetting::update_count(Micros now, ZoneId zone, const FleetState& fleet,
                              const ZoneHealth& health) {
    ZoneSubsets& subsets = zones_[index_of(zone)];
    double announced = 0;
    double proxies = 0;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (proxy.connected && proxy.zone == zone) {
            announced += proxy.announced_rate;
            proxies += 1;
        }
    }
    const auto table = fleet.tables.find(FleetState::zone_table(zone));
    const auto width =
        static_cast<double>(table == fleet.tables.end() ? 0 : table->second.desired_weights.size());
    // The number of connections that a proxy's own traffic keeps from being closed as idle.
    const double sustained_connections =
        proxies > 0 ? std::max<double>(kMinSubsetWidth, announced / proxies * idle_seconds_)
                    : width;
    if (health.condition == ZoneCondition::Degraded) {
        subsets.split_until = now + kSplitHoldTime;
        while (width / subsets.count > sustained_connections && subsets.count < kMaxSubsets) {
            subsets.count *= 2;
        }
    }
    if (health.refusing_connections && now >= subsets.next_split) {
        if (width / subsets.count >= 2 * kMinRefusingSubsetWidth && subsets.count < kMaxSubsets) {
            subsets.count *= 2;
        }
        subsets.next_split = now + kSplitInterval;
    }
}

void Subsetting::fill_tables(Micros now, ZoneId zone, FleetState& fleet,
                             const SlowStart& slow_start) {
    ZoneSubsets& subsets = zones_[index_of(zone)];
    for (int subset = 0; subset < kMaxSubsets; ++subset) {
        for (const bool local_only : {false, true}) {
            const auto found = fleet.tables.find(fleet.subset_table(zone, subset, local_only));
            if (found != fleet.tables.end()) {
                found->second.desired_weights.clear();
            }
        }
    }
    subsets.rate.assign(static_cast<std::size_t>(subsets.count), 0.0);
    subsets.weight = subsets.rate;
    const bool has_local_only = fleet.operations.local_only != 0;
    for (const bool local_only : {false, true}) {
        if (subsets.count < 2 || (local_only && !has_local_only)) {
            continue;
        }
        const Table& base =
            fleet.tables[local_only ? fleet.local_only_table(zone) : FleetState::zone_table(zone)];
        for (int subset = 0; subset < subsets.count; ++subset) {
            fleet.tables[fleet.subset_table(zone, subset, local_only)].desired_limits =
                base.desired_limits;
        }
        for (const auto& [id, weight] : base.desired_weights) {
            const Server& server = fleet.servers[id];
            // In a subset a warming server would receive everything that the busy servers beside it
            // refuse.
            if (slow_start.is_warming_up(now, server)) {
                continue;
            }
            const std::size_t subset = subset_of(server.subset_hash, subsets.count);
            const TableId table = fleet.subset_table(zone, static_cast<int>(subset), local_only);
            fleet.tables[table].desired_weights[id] = weight;
            if (local_only == has_local_only) {
                subsets.weight[subset] += weight;
            }
        }
    }
}

}  // namespace badgergrade::policy
