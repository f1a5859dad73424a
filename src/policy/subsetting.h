// Whether a zone's table is split into subsets, which servers each subset holds, and which proxies
// use it.
//
// Inputs: each zone's health, the size of its table, and the rates that its proxies announced. A
// table far wider than what a proxy's own traffic keeps connections for costs a handshake with
// nearly every invocation, and hides slow and dead servers from the proxy's own picking; servers
// short of connections turn its attempts away. While such a zone is degraded its table is halved
// until it is narrow enough, and halved further while connections are refused.
//
// A server's subset follows from its subset hash. A proxy goes to the subset with the lowest
// requested rate for its weight, the busiest proxies first, and leaves a subset that has lost half
// of its mean weight.
//
// Invariants: servers that are warming up are in no subset; nothing is split while much of the
// fleet is warming up; a proxy keeps its subset while the count stays the same and the
// subset holds its weight.
// docs/design.md, "Changed" 4, has the reasons.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

/// A subset is not made narrower than this for warm connections: a proxy needs a choice.
constexpr std::size_t kMinSubsetWidth = 12;

struct ZoneSubsets {
    int count = 1;
    /// Not split after this, unless the zone is degraded again.
    Micros split_until{};
    Micros next_split{};
    /// By subset: the announced rate of its proxies, and the weight of its servers.
    std::vector<double> rate;
    std::vector<double> weight;
};

struct SubsetCountChange {
    ZoneId zone;
    int count;
};

/// The place of a server with this hash among `count` subsets.
inline std::size_t subset_of(double subset_hash, int count) {
    return static_cast<std::size_t>(subset_hash * count);
}

/// The part with the lowest requested rate for each unit of weight, were `more` added to it. Parts
/// of `min_weight` or less take no more proxies; nothing: all are closed.
std::optional<std::size_t> least_loaded(const std::vector<double>& rate,
                                        const std::vector<double>& weight, double more,
                                        double min_weight);

/// Assigns the connected proxies of a zone to its subsets.
void assign_proxies(ZoneId zone, ZoneSubsets& subsets, FleetState& fleet);

class Subsetting {
public:
    Subsetting(int zone_count, Micros connection_idle_timeout);

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
