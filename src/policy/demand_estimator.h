// Demand estimation: each zone's share of the requested rate, for the zone allocation.
//
// Inputs: demand reports of the proxies that connect to this instance (invocations and the interval
// in which they were received), the rate that each proxy announced when it connected, and the
// number of proxies in the whole deployment. Output: one share for each zone; the shares sum to 1.
//
// Proxies that never connected to this instance count with the average rate and are assumed to be
// in the zones with fewer known proxies than an even distribution would give. The shares are
// recomputed every five seconds. New shares are adopted once some zone's share has been off by at
// least one server for three recomputations in a row, so that tables don't follow noise.
// docs/design.md, "Kept" and "Read closely", has the reasons.
#pragma once

#include <vector>

#include "policy/fleet_state.h"
#include "policy/zone_allocation.h"

namespace badgergrade::policy {

/// The rate of invocations that a proxy reported, per second; 0 if it reported none.
double reported_rate(Micros now, const Proxy& proxy);

/// The part of that rate that did not fail; what the proxy did not admit counts too.
double served_rate(Micros now, const Proxy& proxy);

/// The rate of invocations that a proxy receives, per second; the rate that it announced if it
/// reported none.
double requested_rate(Micros now, const Proxy& proxy);

/// A way to tell the rate of a proxy: one of the functions above.
using RateOf = double (*)(Micros now, const Proxy& proxy);

/// Adds a report that arrives now to the proxy's demand window.
void add_demand(Micros now, const event::ProxyDemandReport& report, Proxy& proxy);

/// Invocations per second by zone, with the proxies that never connected to this instance; these
/// count with the average rate, 1 if no proxy has a rate. `proxy_count`: in the whole deployment.
std::vector<double> measure_demand_rates(Micros now, const FleetState& fleet, int proxy_count,
                                         RateOf rate_of);

/// The shares by the reports of the current window. `proxy_count`: in the whole deployment.
std::vector<double> measure_demand_shares(Micros now, const FleetState& fleet, int proxy_count);

/// The shares with the demand of unreachable zones bounded. A zone whose proxies have all been
/// disconnected from the only instance for five seconds can't be sent tables: its share is limited
/// to what its own servers carry, since it would otherwise be allocated servers of the other zones.
std::vector<double> reachable_demand(Micros now, const FleetState& fleet,
                                     const std::vector<double>& shares,
                                     const std::vector<ServerCapacity>& servers,
                                     bool only_instance);

class DemandEstimator {
public:
    DemandEstimator(int zone_count, int proxy_count, Micros now);

    /// Recomputes the shares when that is due, and returns whether it did. Until the first
    /// recomputation every call adopts the measured shares.
    bool update(Micros now, const FleetState& fleet);
    /// Adopts these shares without waiting for the hold-down.
    void adopt(const std::vector<double>& shares);

    /// The adopted shares.
    const std::vector<double>& shares() const { return shares_; }

    /// The shares as measured now, whether adopted or not.
    std::vector<double> measure(Micros now, const FleetState& fleet) const {
        return measure_demand_shares(now, fleet, proxy_count_);
    }

    bool before_first_recomputation() const { return recomputations_ == 0; }

private:
    void recompute(Micros now, const FleetState& fleet);

    int proxy_count_;
    std::vector<double> shares_;
    int recomputations_ = 0;
    /// Consecutive recomputations in which some zone's share was off by at least one server.
    int deviating_recomputations_ = 0;
    Micros next_recompute_;
};

}  // namespace badgergrade::policy
