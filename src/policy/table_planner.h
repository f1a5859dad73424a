// What the full table, the zone tables and the local-only tables are to hold, and whether zone
// tables or the full table are in force.
//
// Inputs: the ready servers, demand shares, ejections, slow start, and each zone's health. Outputs:
// Table::desired_weights, and the mode.
//
// The allocation (zone_allocation.h) decides. All proxies get the full table where it is
// infeasible, and in two more cases that the design's 20% ceiling does not hold by moves alone: a
// degraded zone stays too far above the mean load; or the one zone that is heard is overloaded
// while its proxies ask for more than they announced. Zone tables come back once the allocation was
// feasible for the hold-down rounds and all servers are warm, against flapping.
//
// Invariants: an ejection never leaves the full table or a local-only table without servers; a
// server that slow start gives nothing is in no table, unless that table would be empty; a narrow
// zone table names warming servers only beside several warm ones.
// docs/design.md, "Changed" 3, has the reasons.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/demand_estimator.h"
#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/zone_allocation.h"

namespace badgergrade::policy {

/// The zones that worst_zone_load looks at.
enum class ZoneFilter { All, Degraded };

/// The load of the most loaded zone's servers, as a multiple of the mean load. `usable`: weight by
/// zone.
double worst_zone_load(const std::vector<double>& demand_shares, const std::vector<double>& usable,
                       const std::vector<ZoneHealth>& health, ZoneFilter filter);

class TablePlanner {
public:
    explicit TablePlanner(const Settings& settings);

    /// A recomputation of the demand shares took place.
    void on_demand_recomputed() { ++recomputations_since_infeasible_; }

    /// Decides on the mode and fills the desired weights of all tables but the subsets. The text
    /// for the operator's log where the mode changed.
    std::optional<std::string> update(Micros now, FleetState& fleet,
                                      const OutlierDetector& outliers, const SlowStart& slow_start,
                                      DemandEstimator& demand);

    /// All proxies use the full table.
    bool full_table_mode() const { return full_table_mode_; }

private:
    /// What one update works with.
    struct Context {
        Micros now;
        FleetState& fleet;
        const OutlierDetector& outliers;
        const SlowStart& slow_start;
        DemandEstimator& demand;
    };

    std::vector<ServerCapacity> ready_servers(const Context& context) const;
    ZoneAllocation allocate(const Context& context, const std::vector<ServerCapacity>& ready);
    std::string fallback_reason(const Context& context, const ZoneAllocation& allocation) const;
    std::optional<std::string> update_mode(const Context& context, const std::string& reason);
    void fill_tables(const Context& context, const std::vector<ServerCapacity>& ready) const;
    static void keep_warming_out_of_narrow_tables(const Context& context);

    bool only_instance_;
    bool can_limit_admission_;
    bool warming_servers_can_collapse_;
    std::map<ServerId, ZoneId> zone_of_server_;
    bool full_table_mode_ = false;
    std::string full_table_reason_;
    int recomputations_since_infeasible_ = 0;
    /// Before it, shares are not adopted early again.
    Micros next_early_adoption_{};
};

}  // namespace badgergrade::policy
