// The thresholds of outlier detection and their evaluation; outlier_detection.h describes the rule.
#include "policy/outlier_detection.h"

#include <algorithm>

namespace badgergrade::policy {
namespace {

constexpr Micros kBucketWidth{1'000'000};
/// A failing server has at least this many times the median server's failed fraction; less is
/// chance or an overload.
constexpr double kFailingFactor = 3;
/// Fewer failures are chance.
constexpr double kMinFailures = 2;
/// On probation fewer attempts are enough, because a reduced weight attracts few.
constexpr double kMinProbationAttempts = 2;
/// A zone is degraded above this failed fraction, or with a mean latency above this fraction of the
/// objective.
constexpr double kDegradedFailedFraction = 0.05;
constexpr double kDegradedLatencyFactor = 0.5;
/// Failures beside a mean latency above this fraction of the objective mean that the server is
/// overloaded ...
constexpr double kOverloadedLatencyFactor = 0.75;
/// ... unless at least this fraction of its attempts fails.
constexpr double kNearlyAllFailed = 0.9;
/// From this failed fraction on a server is unresponsive.
constexpr double kUnresponsiveFailedFraction = 0.98;
/// A slow server has at least this many times the median server's mean latency.
constexpr double kSlowLatencyFactor = 4;
/// The fraction of a zone's servers up to which a server may be ejected that fails, that fails
/// nearly all attempts, or that is slow. In a large loaded zone the weakest servers become slow
/// too, and ejecting them would overload the zone.
constexpr double kMaxEjectedFailing = 0.34;
constexpr double kMaxEjectedNearlyAllFailed = 0.5;
constexpr double kMaxEjectedSlow = 0.1;
/// The longest ejection: a repaired server is not kept out much longer than it was faulty.
constexpr Micros kMaxEjectionTime{24'000'000};
constexpr Micros kProbationTime{5'000'000};
/// The next ejection of a healthy server gets shorter while it has this many attempts in the
/// window.
constexpr double kMinAttemptsToShortenEjection = 4 * kMinAttempts;
/// The least overload score of a busy server whose answers are late.
constexpr double kLateOverloadScore = 0.3;
/// With fewer healthy servers a zone has no overload score.
constexpr std::size_t kMinOverloadServers = 2;

double min_attempts(const OutlierState& state) {
    return state.state == EjectionState::Probation ? kMinProbationAttempts : kMinAttempts;
}

/// The most ejected servers of a zone, including this one, out of `considered`. One slow server may
/// always be ejected, however small the zone.
double max_ejected(bool slow, const AttemptStats& stats, int considered) {
    if (slow) {
        return std::max(1.0, kMaxEjectedSlow * considered);
    }
    const bool nearly_all_failed = stats.failed_fraction() >= kNearlyAllFailed;
    return (nearly_all_failed ? kMaxEjectedNearlyAllFailed : kMaxEjectedFailing) * considered;
}

void eject(Micros now, OutlierState& state) {
    if (state.state == EjectionState::Probation) {
        state.ejection_time = std::min(kMaxEjectionTime, state.ejection_time * 2);
    }
    state.state = EjectionState::Ejected;
    state.until = now + state.ejection_time;
}

void begin_probation(Micros now, OutlierState& state) {
    state.state = EjectionState::Probation;
    state.until = now + kProbationTime;
    state.attempts = {};
}

}  // namespace

double median(std::vector<double> values) {
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

OutlierDetector::OutlierDetector(int zone_count, Micros shortest_objective, std::size_t cpu_column)
    : objective_seconds_(to_seconds(shortest_objective)),
      cpu_column_(cpu_column),
      zone_count_(zone_count),
      health_(static_cast<std::size_t>(zone_count)) {}

void OutlierDetector::on_load_report(Micros now, const event::ServerLoadReport& report) {
    AttemptStats stats;
    stats.attempts = static_cast<double>(report.attempts);
    stats.failures = static_cast<double>(std::min(report.failures, report.attempts));
    stats.latency_seconds = to_seconds(report.mean_latency) * (stats.attempts - stats.failures);
    const double utilization =
        cpu_column_ < report.load_metrics.size() ? report.load_metrics[cpu_column_] : 1;
    stats.utilization = stats.attempts * utilization;
    states_[{report.zone, report.server}].attempts.bucket(now, kBucketWidth) += stats;
}

void OutlierDetector::reset(ServerId server) {
    for (ZoneId zone{0}; zone.value < zone_count_; ++zone.value) {
        states_.erase({zone, server});
    }
}

AttemptStats OutlierDetector::fleet_stats(Micros now, const FleetState& fleet) const {
    AttemptStats total;
    for (const auto& [key, state] : states_) {
        if (fleet.is_ready(key.second)) {
            total += state.attempts.sum(now, kBucketWidth, kDecisionBuckets);
        }
    }
    return total;
}

AttemptStats OutlierDetector::server_stats(Micros now, ServerId server, int newest_buckets) const {
    AttemptStats total;
    for (ZoneId zone{0}; zone.value < zone_count_; ++zone.value) {
        if (const auto found = states_.find({zone, server}); found != states_.end()) {
            total += found->second.attempts.sum(now, kBucketWidth, newest_buckets);
        }
    }
    return total;
}

AttemptStats OutlierDetector::zone_stats(Micros now, ZoneId zone, ServerId server) const {
    const auto found = states_.find({zone, server});
    return found == states_.end() ? AttemptStats{}
                                  : found->second.attempts.sum(now, kBucketWidth, kDecisionBuckets);
}

bool OutlierDetector::is_ejected(ZoneId zone, ServerId server) const {
    const auto found = states_.find({zone, server});
    return found != states_.end() && found->second.state == EjectionState::Ejected;
}

bool OutlierDetector::is_on_probation(ZoneId zone, ServerId server) const {
    const auto found = states_.find({zone, server});
    return found != states_.end() && found->second.state == EjectionState::Probation;
}

int OutlierDetector::ejecting_zone_count(ServerId server) const {
    int count = 0;
    for (ZoneId zone{0}; zone.value < zone_count_; ++zone.value) {
        count += static_cast<int>(is_ejected(zone, server));
    }
    return count;
}

std::vector<EjectionChange> OutlierDetector::evaluate(Micros now, const FleetState& fleet,
                                                      const AttemptStats& fleet_total) {
    std::vector<EjectionChange> changes;
    for (ZoneId zone{0}; zone.value < zone_count_; ++zone.value) {
        ZoneObservation observed = observe(now, zone, fleet);
        health_[index_of(zone)] = zone_health(observed);
        AttemptStats other_zones;
        other_zones.attempts = fleet_total.attempts - observed.total.attempts;
        other_zones.failures = fleet_total.failures - observed.total.failures;
        observed.zone_unresponsive = observed.unresponsive * 4 >= observed.considered * 3 &&
                                     other_zones.attempts > kMinAttempts &&
                                     other_zones.failed_fraction() < kFailingFraction;
        for (const ServerStats& server : observed.servers) {
            evaluate_server(now, server, observed, changes);
        }
    }
    return changes;
}

OutlierDetector::ZoneObservation OutlierDetector::observe(Micros now, ZoneId zone,
                                                          const FleetState& fleet) const {
    ZoneObservation observed;
    observed.zone = zone;
    std::vector<double> failed_fractions;
    std::vector<double> latencies;
    std::vector<double> overloads;
    auto it = states_.lower_bound({zone, ServerId{0}});
    for (; it != states_.end() && it->first.first == zone; ++it) {
        const ServerId server = it->first.second;
        const OutlierState& state = it->second;
        if (!fleet.is_ready(server)) {
            continue;
        }
        const AttemptStats stats = state.attempts.sum(now, kBucketWidth, kDecisionBuckets);
        const bool healthy = state.state == EjectionState::Healthy;
        observed.considered += static_cast<int>(!healthy || stats.attempts > 0);
        observed.ejected += static_cast<int>(state.state == EjectionState::Ejected);
        observed.servers.push_back({server, stats});
        observed.total += stats;
        if (stats.attempts < kMinAttempts) {
            continue;
        }
        failed_fractions.push_back(stats.failed_fraction());
        if (stats.mean_latency_seconds() > 0) {
            latencies.push_back(stats.mean_latency_seconds());
        }
        observed.unresponsive +=
            static_cast<int>(stats.failed_fraction() >= kUnresponsiveFailedFraction);
        if (healthy) {
            overloads.push_back(overload_score_of(now, state));
        }
    }
    observed.median_failed_fraction = median(failed_fractions);
    observed.median_latency_seconds = median(latencies);
    observed.overload_score = overloads.size() < kMinOverloadServers ? 0 : median(overloads);
    return observed;
}

// Failures beside idle CPUs are lost answers, refused connections or a lossy network, which load
// shedding does not help. Only the newest seconds count, so that the score falls soon after the
// overload ends.
double OutlierDetector::overload_score_of(Micros now, const OutlierState& state) const {
    const AttemptStats newest = state.attempts.sum(now, kBucketWidth, kDecisionBuckets - 1);
    if (!newest.busy()) {
        return 0;
    }
    const bool late = newest.mean_latency_seconds() > kLateLatencyFactor * objective_seconds_;
    return std::max(newest.failed_fraction(), late ? kLateOverloadScore : 0);
}

ZoneHealth OutlierDetector::zone_health(const ZoneObservation& zone) const {
    ZoneHealth health;
    health.overload_score = zone.overload_score;
    const bool degraded =
        zone.total.failed_fraction() > kDegradedFailedFraction ||
        zone.total.mean_latency_seconds() > kDegradedLatencyFactor * objective_seconds_;
    if (zone.total.attempts >= kMinAttempts) {
        health.condition = degraded ? ZoneCondition::Degraded : ZoneCondition::Healthy;
    }
    health.refusing_connections =
        zone.median_failed_fraction >= kFailingFraction && !zone.total.busy();
    return health;
}

bool OutlierDetector::is_failing(const OutlierState& state, const AttemptStats& stats,
                                 const ZoneObservation& zone) const {
    const double failed = stats.failed_fraction();
    const bool overloaded =
        stats.mean_latency_seconds() > kOverloadedLatencyFactor * objective_seconds_ &&
        failed < kNearlyAllFailed;
    if (stats.attempts < min_attempts(state) || stats.failures < kMinFailures ||
        !(failed >= kFailingFraction) || overloaded) {
        return false;
    }
    return failed >= kFailingFactor * zone.median_failed_fraction ||
           (zone.zone_unresponsive && failed >= kUnresponsiveFailedFraction);
}

bool OutlierDetector::is_slow(const OutlierState& state, const AttemptStats& stats,
                              const ZoneObservation& zone) const {
    return stats.attempts - stats.failures >= min_attempts(state) &&
           zone.median_latency_seconds > 0 &&
           stats.mean_latency_seconds() >=
               std::max(kSlowLatencyFactor * zone.median_latency_seconds, objective_seconds_);
}

void OutlierDetector::evaluate_server(Micros now, const ServerStats& server, ZoneObservation& zone,
                                      std::vector<EjectionChange>& changes) {
    OutlierState& state = states_[{zone.zone, server.server}];
    const AttemptStats& stats = server.stats;
    if (state.state == EjectionState::Ejected) {
        if (now >= state.until) {
            begin_probation(now, state);
        }
        return;
    }
    const bool failing = is_failing(state, stats, zone);
    const bool slow = !failing && is_slow(state, stats, zone);
    if (failing || slow) {
        const double allowed = max_ejected(slow, stats, zone.considered);
        if (!zone.zone_unresponsive && zone.ejected + 1 > allowed) {
            return;
        }
        eject(now, state);
        ++zone.ejected;
        changes.push_back({zone.zone, server.server, true, stats, zone.median_latency_seconds});
    } else if (state.state == EjectionState::Probation && now >= state.until) {
        state.state = EjectionState::Healthy;
        changes.push_back({zone.zone, server.server, false, stats, zone.median_latency_seconds});
    } else if (state.state == EjectionState::Healthy &&
               stats.attempts >= kMinAttemptsToShortenEjection) {
        state.ejection_time = std::max(kFirstEjectionTime, state.ejection_time - kDecisionInterval);
    }
}

}  // namespace badgergrade::policy
