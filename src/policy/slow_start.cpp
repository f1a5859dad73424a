// Slow start weights and the expected overload; slow_start.h describes the rule.
#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "policy/outlier_detection.h"

namespace badgergrade::policy {
namespace {

/// The least overload, in multiples of its usual load per weight, that a warming server must
/// withstand: retries, or a burst.
constexpr double kMinExpectedOverload = 2;
/// The weight rises in this many steps, so that not every decision sends a line for it.
constexpr double kWeightSteps = 8;
/// With least request, two servers are drawn and the idle new one is usually picked: it receives
/// twice its weight.
constexpr double kLeastRequestFactor = 2;
/// The least success fraction that is assumed; keeps the attempts per success finite.
constexpr double kMinSuccessFraction = 0.05;
/// The expected overload is rounded to a power of two, so that single reports don't change the
/// tables; it is rounded up from this fraction of a step (in the logarithm) on.
constexpr double kRoundUpThreshold = 0.4;

}  // namespace

SlowStart::SlowStart(const Settings& settings, Micros shortest_objective, Micros now)
    : window_(settings.slow_start_window),
      collapse_time_(settings.overload_collapse_time),
      initial_capacity_fraction_(settings.initial_capacity_fraction),
      collapse_factor_(settings.overload_collapse_factor),
      balanced_collapse_factor_(settings.overload_collapse_factor /
                                (settings.load_balancing_policy == LoadBalancingPolicy::LeastRequest
                                     ? kLeastRequestFactor
                                     : 1)),
      objective_seconds_(to_seconds(shortest_objective)),
      expected_overload_until_(now + kRecomputeInterval) {}

double SlowStart::progress(Micros now, const Server& server) const {
    const double age_fraction =
        std::max(0.0, to_seconds(now - server.started_at) / to_seconds(window_));
    return std::floor(age_fraction * kWeightSteps) / kWeightSteps;
}

double SlowStart::capacity_fraction(double progress) const {
    return initial_capacity_fraction_ + (1 - initial_capacity_fraction_) * progress;
}

double SlowStart::weight_fraction(Micros now, const Server& server, double overload) const {
    if (server.started_at <= Micros{0} || server.started_at + window_ <= now) {
        return 1;
    }
    if (overload >= kSevereOverload || just_reported(now, server)) {
        return 0;
    }
    const double progressed = progress(now, server);
    const double capacity_bound = balanced_collapse_factor_ > 0
                                      ? balanced_collapse_factor_ /
                                            std::max(kMinExpectedOverload, overload) *
                                            capacity_fraction(progressed)
                                      : 1;
    return std::min(std::max(kReducedWeightFraction, progressed), capacity_bound);
}

double SlowStart::withstood_weight(Micros now, const Server& server) const {
    return just_reported(now, server)
               ? 0
               : server.weight * collapse_factor_ * capacity_fraction(progress(now, server));
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

// An overload that load shedding holds down would return within one report. With late answers
// proxies avoid each busy server, so an idle warming server would receive nearly everything.
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
    if (overload >= expected_overload_ || now >= expected_overload_until_) {
        expected_overload_ = overload;
        expected_overload_until_ = now + window_;
    }
}

}  // namespace badgergrade::policy
