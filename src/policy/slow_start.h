// Which part of its weight a server that has just started is given.
//
// Inputs: when the server started, the settings (slow start window, initial capacity fraction, the
// overload that makes a warming server collapse), and how much the fleet as a whole is overloaded.
// All results are fractions of the server's weight, 0 to 1.
//
// The design gives a quarter, rising. That is safe only where the server can bear it: what a server
// can do rises evenly from its initial capacity, and retries or an overload multiply what it meets.
// So its weight is also kept under its capacity of the moment x the factor at which it collapses /
// the overload expected. It gets nothing at all in a severe overload, until it is warm, and in the
// first Settings::overload_collapse_time after this instance heard of its start. The fraction
// rises in eight steps over the slow start window.
//
// Invariants: a warm server has its whole weight; the overload expected rises at once and falls
// only after one slow start window, since the next wave of retries meets the servers that are
// warming now. docs/design.md, "Changed" 2, has the reasons.
#pragma once

#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace badgergrade::policy {

/// With this many attempts an answer, or with admission cut, servers that are warming up wait
/// outside of the tables.
constexpr double kSevereOverload = 8;
/// With this part of the fleet warming up at once (a rolling release) the others can't carry its
/// part.
constexpr double kManyWarmingFraction = 0.3;

class SlowStart {
public:
    SlowStart(const Settings& settings, Micros shortest_objective, Micros now);

    /// The part of its weight that a server can bear at an overload of this many times its usual
    /// load.
    double weight_fraction(Micros now, const Server& server, double overload) const;
    /// The same at the overload that is expected now.
    double weight_fraction(Micros now, const Server& server) const;
    /// Its fraction at its usual load is under 1. A server without a start time is warm.
    bool is_warming_up(Micros now, const Server& server) const;
    /// The weight of the ready servers that are warming up, of all ready servers (0 to 1).
    double warming_fraction(Micros now, const FleetState& fleet) const;
    /// The weight for the tables of a zone: the server's weight x the lower of its slow start
    /// fraction and, on probation, kReducedWeightFraction.
    double planned_weight(Micros now, const Server& server, bool on_probation) const;

    /// Follows what the proxies met in the whole fleet. `shedding`: some zone's admission is cut.
    void update_expected_overload(Micros now, const AttemptStats& stats, bool shedding,
                                  const FleetState& fleet);

private:
    Micros window_;
    Micros collapse_time_;
    double initial_capacity_fraction_;
    /// Times its capacity that a server surely bears; 0: it does not collapse.
    double collapse_factor_;
    double objective_seconds_;
    /// An instance that starts in the middle of an overload has no report of it yet.
    double expected_overload_ = kSevereOverload;
    Micros expected_until_;
};

}  // namespace badgergrade::policy
