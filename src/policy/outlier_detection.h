// Outlier detection: ejects servers from the tables of a zone and reports the health of each zone.
//
// Input: load reports (the attempts of one zone's proxies at one server), summed over a sliding
// window of four seconds. Latencies are compared with the shortest latency objective of all
// operations. Zones are evaluated separately: a server may be ejected in one zone and used in
// another. "A zone's servers" means here the ready servers that the zone's proxies have reported,
// whichever zone these servers are in.
//
// Servers are compared with the median of the zone's servers, so that an overload of all servers
// ejects none. A server is ejected from a zone's tables when
//   - it fails: 40% or more of its attempts fail, and at least three times the median server's
//     failed fraction; or
//   - it is slow: its mean latency is at least four times the median server's, and at least the
//     objective.
// A server whose attempts fail while its mean latency is above three quarters of the objective is
// overloaded. It is not ejected as failing unless 90% of its attempts fail, because that would
// overload the next one. It may still be ejected as slow.
//
// An ejection lasts 6 s at first. Then the server is on probation for 5 s: it is in the zone's
// tables again, at a quarter of its weight. If it fails or is slow again it is ejected for twice as
// long, up to 24 s. The ejection time decreases again while the server is healthy and gets
// attempts.
//
// The full table has its own rule: it drops a server that half of the zones have ejected
// (table_planner.h).
//
// Invariants: a server is ejected only while at most a fixed fraction of the zone's servers is then
// ejected (half if nearly all its attempts fail, 34% if it fails otherwise, a tenth but always one
// server if it is slow). In an unresponsive zone (98% of the attempts fail at three quarters of its
// servers, while the attempts of other zones succeed) this limit does not apply, and servers with
// that failed fraction are ejected whatever the median is. Reports received before a probation
// don't count in it. docs/design.md, "Changed" 1, has the reasons.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "policy/event.h"
#include "policy/fleet_state.h"
#include "policy/sliding_window.h"

namespace badgergrade::policy {

/// With fewer attempts a server, a zone or the fleet is not judged; on probation two attempts at a
/// server are enough.
constexpr double kMinAttempts = 4;
/// From this fraction of failed attempts on a server counts as failing.
constexpr double kFailingFraction = 0.4;
/// A mean latency above this fraction of the shortest objective is late: many answers then miss the
/// objective.
constexpr double kLateLatencyFactor = 0.7;
/// Duration of the first ejection; long enough for a short stall to end.
constexpr Micros kFirstEjectionTime{6'000'000};

/// Reports are kept in this many buckets of one second each.
constexpr int kReportBuckets = 8;
/// Decisions use the newest four buckets: a few reports, which arrive every one or two seconds. The
/// overload score uses one bucket less.
constexpr int kDecisionBuckets = 4;

enum class EjectionState { Healthy, Ejected, Probation };

/// The attempts of one zone's proxies at one server, and its ejection state in that zone.
struct OutlierState {
    SlidingWindow<AttemptStats, kReportBuckets> attempts;
    EjectionState state = EjectionState::Healthy;
    /// When the ejection or the probation ends.
    Micros until{};
    /// How long the next ejection lasts; twice that, up to 24 s, if it begins on probation.
    Micros ejection_time = kFirstEjectionTime;
};

/// Unreported: fewer than kMinAttempts attempts.
enum class ZoneCondition { Unreported, Healthy, Degraded };

struct ZoneHealth {
    /// 0 to 1: the median over the zone's servers (without those that are ejected, on probation or
    /// have fewer than kMinAttempts attempts) of their failed fraction; 0 for fewer than two
    /// servers. A server whose CPUs are not busy counts as 0, a busy server with late answers as at
    /// least 0.3.
    double overload_score = 0;
    ZoneCondition condition = ZoneCondition::Unreported;
    /// The median server fails while the CPUs are not busy (AttemptStats::busy()): servers refuse
    /// connections.
    bool refusing_connections = false;
};

/// A server was ejected from a zone's tables, or has passed its probation. The step from ejection
/// to probation, with which the server returns to the tables, is not reported and not logged.
struct EjectionChange {
    ZoneId zone;
    ServerId server;
    bool ejected;
    /// The attempts of the zone's proxies at the server.
    AttemptStats stats;
    /// The median of the mean latencies of the zone's servers.
    double median_latency_seconds;
};

class OutlierDetector {
public:
    /// `cpu_column`: the column of the CPU utilization in the load metrics. Reports without that
    /// column count as full utilization.
    OutlierDetector(int zone_count, Micros shortest_objective, std::size_t cpu_column);

    /// Counts a report in the bucket of `now`, whatever interval it covers. The zone must be valid.
    void on_load_report(Micros now, const event::ServerLoadReport& report);
    /// The server has restarted: discards its earlier reports and ends its ejections and probations
    /// in all zones.
    void reset(ServerId server);

    /// Sum over all zones and ready servers, over the newest kDecisionBuckets.
    AttemptStats fleet_stats(Micros now, const FleetState& fleet) const;
    /// Of one zone's proxies at one server, over the newest kDecisionBuckets.
    AttemptStats zone_stats(Micros now, ZoneId zone, ServerId server) const;
    /// Sum over all zones of one server, over the newest buckets of a second each.
    AttemptStats server_stats(Micros now, ServerId server, int newest_buckets) const;

    /// Updates health(), ejects servers and ends ejections and probations, in the order of zones
    /// and servers. `fleet_total`: fleet_stats() of this moment. Call it once per decision: each
    /// call decreases the ejection time of healthy servers with enough attempts by
    /// kDecisionInterval, down to kFirstEjectionTime. Servers that are not ready are skipped: their
    /// ejection or probation does not end before they are ready again.
    std::vector<EjectionChange> evaluate(Micros now, const FleetState& fleet,
                                         const AttemptStats& fleet_total);

    bool is_ejected(ZoneId zone, ServerId server) const;
    bool is_on_probation(ZoneId zone, ServerId server) const;
    /// The number of zones in which the server is ejected.
    int ejecting_zone_count(ServerId server) const;

    const ZoneHealth& health(ZoneId zone) const { return health_[index_of(zone)]; }

    const std::vector<ZoneHealth>& health() const { return health_; }

private:
    struct ServerStats {
        ServerId server;
        AttemptStats stats;
    };

    /// The attempts of a zone's proxies at all servers, and what is derived from them.
    struct ZoneObservation {
        ZoneId zone;
        std::vector<ServerStats> servers;
        AttemptStats total;
        /// Number of servers with attempts, or that are not in the state Healthy.
        int considered = 0;
        int ejected = 0;
        /// Number of servers whose attempts (nearly) all fail.
        int unresponsive = 0;
        double median_failed_fraction = 0;
        double median_latency_seconds = 0;
        double overload_score = 0;
        /// Three quarters of the servers are unresponsive while other zones' attempts succeed.
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
