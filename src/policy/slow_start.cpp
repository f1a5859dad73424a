#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "policy/outlier_detection.h"

namespace badgergrade::policy {
namespace {

/// A warming server may meet at least this many times its usual load per weight: retries, or a
/// burst.
constexpr double kMinExpectedOverload = 2;
/// The weight rises in this many steps, so that it does not cost a line on every decision.
constexpr double kWeightSteps = 8;
/// Of two servers drawn the idle newcomer is mostly picked: it meets twice its weight.
constexpr double kLeastRequestFactor = 2;
/// The lowest part of attempts that succeed; keeps the attempts an answer finite.
constexpr double kMinSuccessFraction = 0.05;
/// An expected overload is rounded to a power of two, up from this part of the step on, so that
/// single reports do not change the tables.
constexpr double kRoundUpThreshold = 0.4;

}  // namespace

SlowStart::SlowStart(const Settings& settings, Micros shortest_objective, Micros now)
    : window_(settings.slow_start_window),
      collapse_time_(settings.overload_collapse_time),
      initial_capacity_fraction_(settings.initial_capacity_fraction),
      collapse_factor_(settings.overload_collapse_factor /
                       (settings.load_balancing_policy == LoadBalancingPolicy::LeastRequest
                            ? kLeastRequestFactor
                            : 1)),
      objective_seconds_(to_seconds(shortest_objective)),
      expected_until_(now + kRecomputeInterval) {}

double SlowStart::weight_fraction(Micros now, const Server& server, double overload) const {
    if (server.started_at <= Micros{0} || server.started_at + window_ <= now) {
        return 1;
    }
    const double age = std::max(0.0, to_seconds(now - server.started_at) / to_seconds(window_));
    // Proxies that restarted with it may still send by tables of their own. What they sent must be
    // out of the collapse window before the weight of this instance can be counted for it.
    if (overload >= kSevereOverload || now < server.start_reported_at + collapse_time_) {
        return 0;
    }
    const double progress = std::floor(age * kWeightSteps) / kWeightSteps;
    const double capacity_bound =
        collapse_factor_ > 0
            ? collapse_factor_ / std::max(kMinExpectedOverload, overload) *
                  (initial_capacity_fraction_ + (1 - initial_capacity_fraction_) * progress)
            : 1;
    return std::min(std::max(kReducedWeightFraction, progress), capacity_bound);
}

double SlowStart::weight_fraction(Micros now, const Server& server) const {
    return weight_fraction(now, server, expected_overload_);
}

bool SlowStart::is_warming_up(Micros now, const Server& server) const {
    return weight_fraction(now, server, 1) < 1;
}

double SlowStart::warming_fraction(Micros now, const FleetState& fleet) const {
    double warming = 0;
    double total = 0;
    for (const auto& [id, server] : fleet.servers) {
        if (server.state != ServerState::Ready) {
            continue;
        }
        total += server.weight;
        warming += is_warming_up(now, server) ? server.weight : 0;
    }
    return total > 0 ? warming / total : 0;
}

double SlowStart::planned_weight(Micros now, const Server& server, bool on_probation) const {
    const double probation_fraction = on_probation ? kReducedWeightFraction : 1.0;
    return server.weight * std::min(weight_fraction(now, server), probation_fraction);
}

// An overload that cut admission holds down is back within one report. Late answers come with
// proxies that avoid each busy server, so that an idle warming one draws all.
void SlowStart::update_expected_overload(Micros now, const AttemptStats& stats, bool shedding,
                                         const FleetState& fleet) {
    double overload = 1;
    if (stats.attempts >= kMinAttempts) {
        overload = 1 / std::max(kMinSuccessFraction, 1 - stats.failed_fraction());
    }
    if (shedding) {
        overload = std::max(overload, kSevereOverload);
    }
    if (stats.mean_latency_seconds() > kLateLatencyFactor * objective_seconds_) {
        const bool many_warming = warming_fraction(now, fleet) >= kManyWarmingFraction;
        overload = std::max(overload, many_warming ? kSevereOverload / 2 : kSevereOverload);
    }
    overload = std::exp2(std::ceil(std::log2(overload) - kRoundUpThreshold));
    if (overload >= expected_overload_ || now >= expected_until_) {
        expected_overload_ = overload;
        expected_until_ = now + window_;
    }
}

}  // namespace badgergrade::policy
