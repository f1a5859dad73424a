// Which servers a zone's proxies must not use for now, and how each zone's servers fare.
//
// Inputs: the load reports (what the proxies of one zone met at one server), over a window of four
// seconds. Latencies are compared with the shortest latency objective of all operations.
//
// The measure is the zone's median server, so that an overload of all ejects nobody. A server is
// ejected from the tables of one zone when
//   - it fails: 40% or more of its attempts, and three times what the median server fails, or
//   - it crawls: its answers take four times as long as the median server's, and longer than the
//     objective.
// Failures beside long answers are an overload of that server: ejecting it tips the next one.
// After the ejection time (6 s at first) the server is on probation for 5 s: it is in the zone's
// tables again, at a quarter of its weight. Failing or slow again ejects it for twice as long,
// 24 s at most. The ejection time falls again while a healthy server gets attempts.
//
// The full table follows its own rule: it drops a server that half of the zones have ejected
// (table_planner.h).
//
// Invariants: at most a fixed part of a zone's servers is ejected, unless the zone is dead (three
// quarters of its servers answer nothing) while other zones answer; reports from before probation
// do not count in it. docs/design.md, "Changed" 1, has the reasons.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "policy/event.h"
#include "policy/fleet_state.h"
#include "policy/sliding_window.h"

namespace badgergrade::policy {

/// Below this many attempts nothing is said of a server, a zone or the fleet.
constexpr double kMinAttempts = 4;
/// From this failed fraction on a server is failing.
constexpr double kFailingFraction = 0.4;
/// Mean answers past this part of the shortest objective are late: many of them miss it.
constexpr double kLateLatencyFactor = 0.7;
/// The first ejection; long enough that a short stall is over.
constexpr Micros kFirstEjectionTime{6'000'000};

/// Reports are kept for this many buckets of a second each.
constexpr int kReportBuckets = 8;
/// Decisions look at the newest four: a few reports, which come every one or two seconds.
constexpr int kDecisionBuckets = 4;

enum class EjectionState { Healthy, Ejected, Probation };

/// What one zone's proxies met at one server, and what follows from it there.
struct OutlierState {
    SlidingWindow<AttemptStats, kReportBuckets> attempts;
    EjectionState state = EjectionState::Healthy;
    /// The end of the ejection or of the probation.
    Micros until{};
    /// How long the next ejection lasts.
    Micros ejection_time = kFirstEjectionTime;
};

enum class ZoneCondition { Unreported, Healthy, Degraded };

struct ZoneHealth {
    /// The failed fraction of the median server whose CPUs are busy (0 to 1); late answers count as
    /// failures in part.
    double overload_score = 0;
    ZoneCondition condition = ZoneCondition::Unreported;
    /// The median server fails beside idle CPUs: it turns connections away.
    bool refusing_connections = false;
};

/// A server was ejected from a zone's tables, or has passed its probation. The step from ejection
/// to probation, with which the server returns to the tables, gives no change and no log line.
struct EjectionChange {
    ZoneId zone;
    ServerId server;
    bool ejected;
    /// What the zone's proxies met at the server.
    AttemptStats stats;
    /// Mean latency of the zone's median server.
    double median_latency_seconds;
};

class OutlierDetector {
public:
    /// `cpu_column`: where load metrics hold the CPU utilization; past their end: nowhere.
    OutlierDetector(int zone_count, Micros shortest_objective, std::size_t cpu_column);

    /// Counts a report in the bucket of `now`, whatever interval it covers. The zone must be
    /// known.
    void on_load_report(Micros now, const event::ServerLoadReport& report);
    /// The server has started anew: what was met before does not count, and its ejections and
    /// probations in all zones end.
    void reset(ServerId server);

    /// Sum over all zones and ready servers.
    AttemptStats fleet_stats(Micros now, const FleetState& fleet) const;
    /// Sum over all zones of one server, over the newest buckets of a second each.
    AttemptStats server_stats(Micros now, ServerId server, int newest_buckets) const;

    /// Takes the decisions of this moment, in the order of zones and servers.
    /// `fleet_total`: fleet_stats() of this moment. Call it once a decision: the ejection time of
    /// healthy servers falls by kDecisionInterval with each call. A server that is not ready is
    /// left out, and its ejection or probation goes on until it is ready again.
    std::vector<EjectionChange> evaluate(Micros now, const FleetState& fleet,
                                         const AttemptStats& fleet_total);

    bool is_ejected(ZoneId zone, ServerId server) const;
    bool is_on_probation(ZoneId zone, ServerId server) const;
    /// By how many zones the server is ejected.
    int ejecting_zone_count(ServerId server) const;

    const ZoneHealth& health(ZoneId zone) const { return health_[index_of(zone)]; }

    const std::vector<ZoneHealth>& health() const { return health_; }

private:
    struct ServerStats {
        ServerId server;
        AttemptStats stats;
    };

    /// What a zone's proxies met at all their servers.
    struct ZoneObservation {
        ZoneId zone;
        std::vector<ServerStats> servers;
        AttemptStats total;
        /// Servers that were tried or are not in the state Healthy.
        int considered = 0;
        int ejected = 0;
        /// Servers that answer nothing.
        int unresponsive = 0;
        /// Of the zone's median server.
        double median_failed_fraction = 0;
        double median_latency_seconds = 0;
        double overload_score = 0;
        /// Three quarters answer nothing while the other zones answer.
        bool zone_unresponsive = false;
    };

    ZoneObservation observe(Micros now, ZoneId zone, const FleetState& fleet) const;
    double overload_score_of(Micros now, const OutlierState& state) const;
    ZoneHealth zone_health(const ZoneObservation& zone) const;
    bool is_failing(const OutlierState& state, const AttemptStats& stats,
                    const ZoneObservation& zone) const;
    bool is_slow(const OutlierState& state, const AttemptStats& stats,
                 const ZoneObservation& zone) const;
    void evaluate_server(Micros now, const ServerStats& server, ZoneObservation& zone,
                         std::vector<EjectionChange>& changes);

    double objective_seconds_;
    std::size_t cpu_column_;
    int zone_count_;
    std::map<std::pair<ZoneId, ServerId>, OutlierState> states_;
    std::vector<ZoneHealth> health_;
};

/// The lower median; 0 for no values.
double median(std::vector<double> values);

}  // namespace badgergrade::policy
