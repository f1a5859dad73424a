// Required capacity: the weight of warm servers that the demand usually needs, by zone.
//
// Inputs: demand reports of the proxies, the ready servers, and each zone's health. The capacity of
// a server is not known. But while every reported zone is healthy and no admission limit is in
// force, the ready servers carry all that is served, so the served rate per unit of their weight is
// a load that warm servers certainly carry (the proven load). The lower of two successive samples
// counts, since the list and the reports are late; of several healthy periods the one with the
// highest load counts. The required weight is the usual demand divided by the proven load.
//
// The usual demand of a zone is that of the last sample in which its proxies served nearly all
// invocations: clients repeat what is refused, so what a zone without servers is asked for says
// little about what it will be asked for once it has some.
//
// The weight of the servers that happen to be ready would not do in place of the required weight:
// right after a zone or the fleet was lost, a single server that is back would count as all that is
// needed.
//
// Proxies of other instances count as demand_estimator.h says. The work of an invocation is taken
// to be in proportion to the latency objective of its operation (as in overload_control.h).
//
// Invariants: before the first healthy period no value is returned; the proven load never falls.
#pragma once

#include <optional>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/settings.h"

namespace badgergrade::policy {

class RequiredCapacity {
public:
    explicit RequiredCapacity(const Settings& settings);

    /// Call it once per decision, after the health of the zones was evaluated. Samples are taken
    /// once per kRecomputeInterval.
    void update(Micros now, const FleetState& fleet, const std::vector<ZoneHealth>& health);

    /// For the demand of all proxies; in units of listed weight, as the other values. No value
    /// while it is not known, which is so as long as no proxy of some zone has reported here.
    std::optional<double> of_fleet() const;
    /// For the demand of the proxies of one zone.
    std::optional<double> of_zone(ZoneId zone) const;
    /// For the local-only operations of the proxies of one zone.
    std::optional<double> of_local_only(ZoneId zone) const;

private:
    /// The usual demand of one zone's proxies.
    struct UsualDemand {
        /// Invocations per second.
        double rate = 0;
        /// The part (0 to 1) of the work that is local-only.
        double local_only_fraction = 1;
    };

    void prove_load(Micros now, const FleetState& fleet, const std::vector<ZoneHealth>& health);
    void sample_demand(Micros now, const FleetState& fleet);
    UsualDemand usual_demand(Micros now, const FleetState& fleet, ZoneId zone, double rate) const;

    int proxy_count_;
    AdmissionMode admission_mode_;
    /// By operation.
    std::vector<double> work_seconds_;
    /// Served invocations per second and unit of weight; 0: nothing is proven.
    double proven_load_ = 0;
    /// The load of the last sample, if that was healthy.
    std::optional<double> last_load_;
    Micros next_sample_{};
    /// By zone; no value: no sample yet.
    std::vector<std::optional<UsualDemand>> usual_demand_;
};

}  // namespace badgergrade::policy
