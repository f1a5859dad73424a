// Overload control: sets admission limits for the proxies of overloaded zones (load shedding).
//
// Inputs: each zone's overload score (outlier_detection.h), the demand of each proxy, the
// operations' latency objectives and priority weights, and the servers that are warming up.
// Outputs: the desired admission limits of the tables, as fractions or as rates per second for each
// proxy (Settings::admission_mode); none if proxies can't limit admission.
//
// The overload score is that of the zone's median server, so it rises with an overload of any
// cause, but not with single faulty servers. Once a second the zone's shed fraction changes: above
// the upper threshold it rises by 0.4 x score of what is still admitted; below the lower threshold
// it falls; between them it stays. The shed fraction is a part of the requested work (rate x
// latency objective). The operations with the lowest priority weight per work are shed first.
//
// Rates are those of the connected proxies' demand reports over the last 6.4 s (kDemandBuckets). A
// zone table has the shed fraction of its zone; the full table has the mean over the connected
// proxies of their zones' shed fractions. A local-only table admits no more than twice what its
// servers carry of the zone's demand, warming servers counted at their slow start fraction; so does
// the full table while all ready servers are warming up. A table with warming servers alone admits
// nothing while the weight that the demand requires (required_capacity.h) is not known. Subset
// tables get the limits of their zone's tables (subsetting.h). In fraction mode the limit is the
// admitted fraction, in steps of 1/20; in rate mode it is admission_rate_limit().
//
// Invariants: at most 80% of a zone's work is shed and at least a tenth of each operation is
// admitted where warm servers are ready, so that a recovery can be observed; without an overload
// nothing is shed. docs/design.md, "Changed" 5, has the reasons.
#pragma once

#include <vector>

#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/required_capacity.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

/// The shed fraction (0 to 1) of a zone one second later.
double next_shed_fraction(double shed_fraction, double overload_score);

/// The rate limit, the same for all proxies, under which proxies with these request rates admit
/// `admitted_fraction` of the sum. It limits the busiest proxies first.
double admission_rate_limit(std::vector<double> rates, double admitted_fraction);

class OverloadControl {
public:
    explicit OverloadControl(const Settings& settings);

    /// Sets the desired limits of the full table, the zone tables and the local-only tables.
    /// `demand_shares`: by zone. Call it once per decision; shed fractions change once a second.
    void update(Micros now, FleetState& fleet, const OutlierDetector& outliers,
                const SlowStart& slow_start, const RequiredCapacity& required,
                const std::vector<double>& demand_shares);

    /// Whether any zone's shed fraction is above 0.
    bool is_shedding() const;

private:
    struct Demand;

    /// The inputs for the limits of one table.
    struct Limits {
        TableId table;
        OperationMask operations;
        double shed_fraction;
        /// The largest admitted fraction (0 to 1) of each operation.
        double sustainable_fraction;
    };

    /// `zone`: only the proxies of this zone; null: all proxies.
    Demand measure_demand(Micros now, const FleetState& fleet, const ZoneId* zone) const;
    void set_limits(FleetState& fleet, const Demand& demand, const Limits& limits) const;
    /// The mean over the connected proxies of their zones' shed fractions.
    double mean_shed_fraction(const FleetState& fleet) const;

    AdmissionMode admission_mode_;
    /// Work per invocation in seconds, by operation.
    std::vector<double> work_seconds_;
    /// Operations in the order in which they are shed, lowest value per work first.
    std::vector<OperationId> shed_order_;
    /// By zone, 0 to 1.
    std::vector<double> shed_fractions_;
    Micros next_update_{};
};

}  // namespace badgergrade::policy
