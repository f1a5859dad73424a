// Table planning: the desired weights of the base tables (full table, zone tables, local-only
// tables), and the mode, which says whether proxies use the zone tables or all use the full table.
//
// Inputs: the ready servers, demand shares, ejections, slow start, the weight that the demand
// requires, and each zone's health. Outputs: Table::desired_weights, and the mode.
//
// Zone tables follow the zone allocation (zone_allocation.h). All proxies use the full table
// (fallback)
//   - if the allocation is infeasible;
//   - if a degraded zone stays too far above the mean load after all moves;
//   - if this instance has reports of one zone only, that zone is overloaded, and its proxies
//     receive more than they announced, past the allowed overload.
// Zone tables are used again once the allocation was feasible for the hold-down recomputations and
// no server is warming up, to prevent flapping.
//
// Invariants: an ejection never leaves the full table or a local-only table without servers; what
// warming servers are in a table follows collapse_protection.h. docs/design.md, "Changed" 2 and 3,
// has the reasons.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/collapse_protection.h"
#include "policy/demand_estimator.h"
#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/required_capacity.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/zone_allocation.h"

namespace badgergrade::policy {

/// The zones that worst_zone_load() considers.
enum class ZoneFilter { All, Degraded };

/// The load (demand for each unit of usable weight) of the most loaded zone, as a multiple of the
/// mean load. `usable`: usable weight by zone.
double worst_zone_load(const std::vector<double>& demand_shares, const std::vector<double>& usable,
                       const std::vector<ZoneHealth>& health, ZoneFilter filter);

class TablePlanner {
public:
    explicit TablePlanner(const Settings& settings);

    /// To be called after each recomputation of the demand shares.
    void on_demand_recomputed() { ++recomputations_since_infeasible_; }

    /// Decides on the mode and fills the desired weights of the base tables. Returns a text for the
    /// operator's log if the mode changed.
    std::optional<std::string> update(Micros now, FleetState& fleet,
                                      const OutlierDetector& outliers, const SlowStart& slow_start,
                                      const RequiredCapacity& required, DemandEstimator& demand);

    /// Whether all proxies use the full table.
    bool full_table_mode() const { return full_table_mode_; }

private:
    /// The inputs of one update.
    struct Context {
        Micros now;
        FleetState& fleet;
        const OutlierDetector& outliers;
        const SlowStart& slow_start;
        const RequiredCapacity& required;
        DemandEstimator& demand;
    };

    /// The ready servers with their weights in units of the mean listed weight.
    std::vector<ServerCapacity> ready_servers(const Context& context) const;
    /// The zone allocation by the adopted shares. Adopts the measured shares first if they load a
    /// zone above the ceiling.
    ZoneAllocation allocate(const Context& context, const std::vector<ServerCapacity>& ready);
    std::string fallback_reason(const Context& context, const ZoneAllocation& allocation) const;
    /// Changes the mode by the reason for the full table (empty: none). Returns a text for the log
    /// if the mode or the reason changed.
    std::optional<std::string> update_mode(const Context& context, const std::string& reason);
    void fill_tables(const Context& context, const std::vector<ServerCapacity>& ready) const;
    /// Corrects the tables in which warming servers would be sent more than they withstand.
    void protect_tables(const Context& context, const std::vector<ServerCapacity>& ready) const;
    static std::function<bool(ServerId)> failing_in_zone(const Context& context, ZoneId zone);
    static TableDemand zone_table_demand(const Context& context, ZoneId zone);
    TableDemand full_table_demand(const Context& context,
                                  const std::vector<ServerCapacity>& ready) const;
    TableDemand local_only_demand(const Context& context, ZoneId zone,
                                  const std::vector<ServerCapacity>& ready) const;
    static bool is_in_full_table(const Context& context, ServerId server);

    bool only_instance_;
    bool can_limit_admission_;
    /// The current allocation.
    std::map<ServerId, ZoneId> zone_of_server_;
    bool full_table_mode_ = false;
    std::string full_table_reason_;
    int recomputations_since_infeasible_ = 0;
    /// Shares are not adopted ahead of the hold-down before this time.
    Micros next_early_adoption_{};
};

}  // namespace badgergrade::policy
