// Slow start: the fraction of its weight that a recently started server is given.
//
// Inputs: when the server started, the settings (slow start window, initial capacity fraction, the
// overload at which a warming server collapses), and how overloaded the whole fleet is. All results
// are fractions of the server's weight, 0 to 1.
//
// The design gives a server a quarter of its weight at first, and more as it warms up. That is safe
// only if the server has the capacity: its capacity rises linearly from the initial capacity
// fraction, and retries or an overload multiply the attempts that it receives. The fraction is
// therefore also limited to
//     collapse factor / expected overload x current capacity fraction.
// It is 0 in a severe overload, until the server is warm, and for the first
// Settings::overload_collapse_time after this instance was notified of the start. The fraction
// rises in eight steps over the slow start window.
//
// The expected overload is the number of attempts per success in the whole fleet. It is severe
// while load is shed or the fleet's answers are late; while much of the fleet is warming up, late
// answers count as half of a severe overload only.
//
// Invariants: a warm server has its whole weight; the expected overload rises at once and falls
// only after one slow start window, because the next wave of retries reaches the servers that are
// warming up now. docs/design.md, "Changed" 2, has the reasons.
#pragma once

#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace badgergrade::policy {

/// From this many attempts per successful one on, or while load is shed, servers that are warming
/// up get no weight.
constexpr double kSevereOverload = 8;
/// With this fraction of the fleet warming up at once (a rolling release) the other servers can't
/// carry their share.
constexpr double kManyWarmingFraction = 0.3;

class SlowStart {
public:
    SlowStart(const Settings& settings, Micros shortest_objective, Micros now);

    /// The fraction of its weight that a server is given at an overload of this many times its
    /// usual load.
    double weight_fraction(Micros now, const Server& server, double overload) const;
    /// The same, at the overload that is expected now.
    double weight_fraction(Micros now, const Server& server) const;
    /// Whether its fraction at its usual load is below 1. A server without a start time is warm.
    bool is_warming_up(Micros now, const Server& server) const;
    /// The weight of warm servers whose usual load a warming server withstands without collapsing:
    /// the collapse factor x its current capacity. 0 for the first
    /// Settings::overload_collapse_time after this instance was notified of the start.
    double withstood_weight(Micros now, const Server& server) const;

    /// Whether the server is warming up and could collapse if it is sent too much.
    bool can_collapse(Micros now, const Server& server) const {
        return collapse_factor_ > 0 && is_warming_up(now, server);
    }

    /// The weight of the ready servers that are warming up, as a fraction (0 to 1) of the weight of
    /// all ready servers.
    double warming_fraction(Micros now, const FleetState& fleet) const;

    /// Whether there are ready servers, and all of them could collapse.
    bool all_can_collapse(Micros now, const FleetState& fleet) const {
        return collapse_factor_ > 0 && warming_fraction(now, fleet) >= 1;
    }

    /// The weight for the tables of a zone: the server's weight x the lower of its slow start
    /// fraction and, on probation, kReducedWeightFraction.
    double planned_weight(Micros now, const Server& server, bool on_probation) const;

    /// Updates the expected overload from the attempts in the whole fleet. `shedding`: some zone's
    /// load is shed.
    void update_expected_overload(Micros now, const AttemptStats& stats, bool shedding,
                                  const FleetState& fleet);

private:
    /// How far the server has warmed up, 0 to 1, in steps.
    double progress(Micros now, const Server& server) const;
    /// The certain capacity at this progress, as a fraction of the full capacity.
    double capacity_fraction(double progress) const;

    /// Proxies that restarted together with the server may still use tables that this instance did
    /// not send. Their attempts must be out of the collapse window before this instance can give
    /// the server weight.
    bool just_reported(Micros now, const Server& server) const {
        return now < server.start_reported_at + collapse_time_;
    }

    Micros window_;
    Micros collapse_time_;
    double initial_capacity_fraction_;
    /// The multiple of its capacity under which a server does not collapse; 0: it never collapses.
    double collapse_factor_;
    /// The same for a server that is one of several in a table, by the load balancing policy.
    double balanced_collapse_factor_;
    double objective_seconds_;
    /// Severe at first: an instance that starts during an overload has no reports of it yet.
    double expected_overload_ = kSevereOverload;
    /// The expected overload does not fall before this time.
    Micros expected_overload_until_;
};

}  // namespace badgergrade::policy
