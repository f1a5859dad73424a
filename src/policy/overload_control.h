// How much of their work overloaded zones admit.
//
// Inputs: each zone's overload score (outlier_detection.h), what each proxy is asked for, the
// operations' latency objectives and priority weights, and the warming servers of a zone. Outputs:
// the desired admission limits of the tables, as fractions or as rates per second for each proxy,
// by Settings::admission_mode; nothing where proxies can't limit what they admit.
//
// An overload shows in a zone's median server, whatever its cause; single bad servers do not move
// it. While the score is high the shed fraction of the zone rises every second, by less the higher
// it is; under a low score it falls. What is shed is a part of the work asked for (rate x latency
// objective). The operation that is value_per_work least for its work is shed first.
//
// The rates are those of the connected proxies' demand reports over the last 6.4 s
// (kDemandBuckets). A zone's table has the shed fraction of that zone; the full table has the mean
// over the connected proxies of their zones' shed fractions. A local-only table also admits no
// more than twice what the zone's own servers, warming ones at their fraction, carry of what the
// zone asks for. Subset tables get the limits of their zone's tables (subsetting.h). In fraction
// mode the limit is the admitted fraction, in steps of 1/20; in rate mode it is
// admission_rate_limit().
//
// Invariants: a fifth of the work, and a tenth of each operation, is always asked for, so that the
// recovery can be seen; without an overload nothing is shed. docs/design.md, "Changed" 5, has the
// reasons.
#pragma once

#include <vector>

#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

/// The shed fraction of a zone one second later.
double next_shed_fraction(double shed_fraction, double overload_score);

/// The rate, the same for all, with which proxies that are asked for these rates admit
/// `admitted_fraction` of their sum: the busiest are cut first.
double admission_rate_limit(std::vector<double> rates, double admitted_fraction);

class OverloadControl {
public:
    explicit OverloadControl(const Settings& settings);

    /// Sets the desired limits of the full table, the zone tables and the local-only tables.
    /// `demand_shares`: by zone. Call it with each decision; shed fractions change once a second.
    void update(Micros now, FleetState& fleet, const OutlierDetector& outliers,
                const SlowStart& slow_start, const std::vector<double>& demand_shares);

    /// Whether any zone's shed fraction is above 0.
    bool is_shedding() const;

private:
    struct Demand;

    /// What a table's users are to admit.
    struct Limits {
        TableId table;
        OperationMask operations;
        double shed_fraction;
        /// An upper bound for local-only operations.
        double local_only_fraction;
    };

    /// `zone`: whose proxies are counted; null: all.
    Demand measure_demand(Micros now, const FleetState& fleet, const ZoneId* zone) const;
    void set_limits(FleetState& fleet, const Demand& demand, const Limits& limits) const;
    double mean_shed_fraction(const FleetState& fleet) const;

    AdmissionMode admission_mode_;
    /// Seconds of work an invocation, by operation.
    std::vector<double> work_seconds_;
    /// Operations in the order in which they are shed.
    std::vector<OperationId> shed_order_;
    /// By zone.
    std::vector<double> shed_fractions_;
    Micros next_update_{};
};

}  // namespace badgergrade::policy
