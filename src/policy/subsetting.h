// Subsetting: whether a zone's tables are split into subsets, which servers each subset contains,
// and which proxies use it.
//
// Inputs: each zone's health, the size of its table, the rates that its proxies announced, and how
// long idle connections are kept.
//
// If a table is far wider than the number of connections that a proxy's own traffic keeps open,
// nearly every invocation needs a new connection, and the proxy can't recognize slow and failed
// servers by its own load balancing; servers that run out of connections refuse its attempts. While
// such a zone is degraded, its table is halved until it is narrow enough, and halved further while
// connections are refused.
//
// A server's subset follows from its subset hash. Proxies are assigned, highest announced rate
// first, to the subset with the lowest announced rate per weight. A proxy leaves a subset whose
// weight falls to half of the mean or less.
//
// Invariants: servers that are warming up are in no subset; no zone is split while much of the
// fleet is warming up; a proxy keeps its subset while the number of subsets is unchanged and the
// subset keeps its weight. docs/design.md, "Changed" 4, has the reasons.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

/// The least width, in servers, down to which a table is split to keep connections open: proxies
/// need several servers to choose from.
constexpr std::size_t kMinSubsetWidth = 12;

struct ZoneSubsets {
    int count = 1;
    /// The zone is no longer split from this time on, unless it is degraded again.
    Micros split_until{};
    /// The earliest next split for refused connections.
    Micros next_split{};
    /// By subset: the announced rate of its proxies (per second), and the weight of its servers.
    std::vector<double> rate;
    std::vector<double> weight;
};

struct SubsetCountChange {
    ZoneId zone;
    int count;
};

/// The subset, out of `count`, of a server with this hash.
inline std::size_t subset_of(double subset_hash, int count) {
    return static_cast<std::size_t>(subset_hash * count);
}

/// The index with the lowest rate per weight if `more` is added to its rate, out of those with a
/// weight above `min_weight`; no value if there is none.
std::optional<std::size_t> least_loaded(const std::vector<double>& rate,
                                        const std::vector<double>& weight, double more,
                                        double min_weight);

/// Assigns the connected proxies of a zone to its subsets and adds their rates to `subsets.rate`.
void assign_proxies(ZoneId zone, ZoneSubsets& subsets, FleetState& fleet);

class Subsetting {
public:
    Subsetting(int zone_count, Micros connection_idle_timeout);

    /// Splits zones or ends their splits, fills the subset tables and assigns proxies. Call it once
    /// per decision, after the base tables are filled.
    std::vector<SubsetCountChange> update(Micros now, FleetState& fleet,
                                          const OutlierDetector& outliers,
                                          const SlowStart& slow_start);

    int count(ZoneId zone) const { return zones_[index_of(zone)].count; }

private:
    void update_count(Micros now, ZoneId zone, const FleetState& fleet, const ZoneHealth& health);
    void fill_tables(Micros now, ZoneId zone, FleetState& fleet, const SlowStart& slow_start);

    double idle_seconds_;
    std::vector<ZoneSubsets> zones_;
};

}  // namespace badgergrade::policy
