// How the demand is spread over the zones.
//
// Inputs: the demand reports of the proxies that this instance hears (invocations and the time in
// which they came), what each proxy announced when it connected, and the number of proxies in the
// whole deployment. Results: a share for each zone; shares sum to 1.
//
// Proxies that are not heard count as average, and are taken to stand in the zones where fewer are
// heard than an even spread of the fleet would put there. Shares are recomputed every five seconds
// and adopted once some zone has been a whole server off for three recomputations, so that tables
// do not follow noise. docs/design.md, "Kept" and "Read closely", has the reasons.
#pragma once

#include <vector>

#include "policy/fleet_state.h"
#include "policy/zone_allocation.h"

namespace badgergrade::policy {

/// Invocations per second that a proxy is asked for; what it announced where it reported nothing.
double requested_rate(Micros now, const Proxy& proxy);

/// Counts a report that arrives now.
void add_demand(Micros now, const event::ProxyDemandReport& report, Proxy& proxy);

/// The shares as the reports have them now. `proxy_count`: in the whole deployment.
std::vector<double> measure_demand_shares(Micros now, const FleetState& fleet, int proxy_count);

/// The shares without the demand that this instance can't direct. A zone whose proxies have all
/// been away for five seconds from the only instance can be given no table: it counts for no more
/// than its own servers carry, or it would draw servers from the zones that go on.
std::vector<double> reachable_demand(Micros now, const FleetState& fleet,
                                     const std::vector<double>& shares,
                                     const std::vector<ServerCapacity>& servers,
                                     bool only_instance);

class DemandEstimator {
public:
    DemandEstimator(int zone_count, int proxy_count, Micros now);

    /// Adopts shares freely until the first recomputation; recomputes when that is due.
    /// True: a recomputation took place.
    bool update(Micros now, const FleetState& fleet);
    /// Adopts these shares without waiting for the hold-down.
    void adopt(const std::vector<double>& shares);

    /// The adopted shares.
    const std::vector<double>& shares() const { return shares_; }

    std::vector<double> measure(Micros now, const FleetState& fleet) const {
        return measure_demand_shares(now, fleet, proxy_count_);
    }

    bool before_first_recomputation() const { return recomputations_ == 0; }

private:
    void recompute(Micros now, const FleetState& fleet);

    int proxy_count_;
    std::vector<double> shares_;
    int recomputations_ = 0;
    /// Recomputations in a row with a zone that is a whole server off.
    int deviating_recomputations_ = 0;
    Micros next_recompute_;
};

}  // namespace badgergrade::policy
