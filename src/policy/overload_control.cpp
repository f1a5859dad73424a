// Shed fractions and admission limits; overload_control.h describes the rule.
#include "policy/overload_control.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

#include "policy/command.h"

namespace badgergrade::policy {
namespace {

constexpr Micros kUpdateInterval{1'000'000};
/// A zone is overloaded above the first score and has recovered below the second; between the two
/// its shed fraction stays.
constexpr double kOverloadedScore = 0.2;
constexpr double kRecoveredScore = 0.08;
/// A step up sheds this factor x the score of what is still admitted.
constexpr double kShedGain = 0.4;
/// A step down admits this fraction of what is shed, and half of it of all work, again.
constexpr double kRecoveryStep = 0.1;
/// The most that is shed, so that reports still show the state of the servers.
constexpr double kMaxShedFraction = 0.8;
constexpr double kMinAdmittedFraction = 0.1;
/// Admitted fractions are rounded down to one of this many steps, so that small changes are not
/// sent.
constexpr double kFractionSteps = 20;
/// Rate limits are rounded to a tenth of an invocation per second, and are at least that.
constexpr double kRateSteps = 10;
constexpr double kMinRate = 0.1;
/// The least work of an invocation, in seconds; prevents a division by an objective of zero.
constexpr double kMinWorkSeconds = 1e-3;
/// Prevents a division by zero for a zone without demand.
constexpr double kMinWeight = 1e-9;
/// The servers of a local-only table may be sent this many times their share of the demand.
constexpr double kWarmingHeadroom = 2;

/// The part of the demand that the servers of a table may be sent, 0 to 1. `usual_weight`: the
/// weight that the demand requires if the ready servers of the fleet carry all demand;
/// `required_weight`: by what was measured, where that is known. Otherwise a single warming server,
/// left of a zone that was just lost, would receive all invocations of the zone.
double sustainable_fraction(Micros now, const FleetState& fleet, const SlowStart& slow_start,
                            const Table& table, double usual_weight,
                            std::optional<double> required_weight) {
    double warm = 0;
    double warming = 0;
    for (const auto& [id, planned] : table.desired_weights) {
        const Server& server = fleet.servers.at(id);
        const double weight = server.weight * slow_start.weight_fraction(now, server, 1);
        (slow_start.can_collapse(now, server) ? warming : warm) += weight;
    }
    if (warm <= 0 && !required_weight) {
        return 0;
    }
    const double demanded =
        warming > 0 ? std::max(usual_weight, required_weight.value_or(0)) : usual_weight;
    return std::min(1.0, kWarmingHeadroom * (warm + warming) / std::max(kMinWeight, demanded));
}

}  // namespace

/// The requested work.
struct OverloadControl::Demand {
    /// By operation, the invocations per second of each proxy.
    std::vector<std::vector<double>> rates;
    /// Sum over operations and proxies, in seconds of work per second.
    double work = 0;
};

double next_shed_fraction(double shed_fraction, double overload_score) {
    if (overload_score > kOverloadedScore) {
        return std::min(kMaxShedFraction,
                        shed_fraction + (1 - shed_fraction) * overload_score * kShedGain);
    }
    if (overload_score < kRecoveredScore) {
        return std::max(0.0, shed_fraction * (1 - kRecoveryStep) - kRecoveryStep / 2);
    }
    return shed_fraction;
}

double admission_rate_limit(std::vector<double> rates, double admitted_fraction) {
    double remaining = admitted_fraction * std::accumulate(rates.begin(), rates.end(), 0.0);
    std::sort(rates.begin(), rates.end());
    for (std::size_t k = 0; k < rates.size(); ++k) {
        const double equal_share = remaining / static_cast<double>(rates.size() - k);
        if (equal_share <= rates[k]) {
            return std::max(kMinRate, std::round(equal_share * kRateSteps) / kRateSteps);
        }
        remaining -= rates[k];
    }
    return command::SetAdmission::kUnlimitedRate;
}

OverloadControl::OverloadControl(const Settings& settings)
    : admission_mode_(settings.admission_mode),
      shed_fractions_(static_cast<std::size_t>(settings.zone_count), 0.0) {
    std::vector<double> value_per_work;
    for (const Operation& operation : settings.operations) {
        const OperationId id{static_cast<int>(work_seconds_.size())};
        const double work = std::max(kMinWorkSeconds, to_seconds(operation.latency_objective));
        work_seconds_.push_back(work);
        value_per_work.push_back(operation.priority_weight / work);
        shed_order_.push_back(id);
    }
    const auto has_lower_value = [&](OperationId a, OperationId b) {
        return value_per_work[index_of(a)] < value_per_work[index_of(b)];
    };
    std::stable_sort(shed_order_.begin(), shed_order_.end(), has_lower_value);
}

bool OverloadControl::is_shedding() const {
    return std::ranges::any_of(shed_fractions_, [](double fraction) { return fraction > 0; });
}

void OverloadControl::update(Micros now, FleetState& fleet, const OutlierDetector& outliers,
                             const SlowStart& slow_start, const RequiredCapacity& required,
                             const std::vector<double>& demand_shares) {
    if (admission_mode_ == AdmissionMode::None || work_seconds_.empty()) {
        return;
    }
    if (now >= next_update_) {
        for (std::size_t zone = 0; zone < shed_fractions_.size(); ++zone) {
            shed_fractions_[zone] =
                next_shed_fraction(shed_fractions_[zone], outliers.health()[zone].overload_score);
        }
        next_update_ = now + kUpdateInterval;
    }
    const OperationSets& operations = fleet.operations;
    const double full_table_fraction =
        slow_start.all_can_collapse(now, fleet)
            ? sustainable_fraction(now, fleet, slow_start, fleet.tables[fleet.full_table()],
                                   fleet.ready_weight(), required.of_fleet())
            : 1;
    set_limits(
        fleet, measure_demand(now, fleet, nullptr),
        {fleet.full_table(), operations.any_zone, mean_shed_fraction(fleet), full_table_fraction});
    for (ZoneId zone{0}; zone.value < fleet.zone_count; ++zone.value) {
        const double shed_fraction = shed_fractions_[index_of(zone)];
        const Demand demand = measure_demand(now, fleet, &zone);
        set_limits(fleet, demand,
                   {FleetState::zone_table(zone), operations.any_zone, shed_fraction, 1});
        if (operations.local_only == 0) {
            continue;
        }
        const double admitted = sustainable_fraction(
            now, fleet, slow_start, fleet.tables[fleet.local_only_table(zone)],
            demand_shares[index_of(zone)] * fleet.ready_weight(), required.of_zone(zone));
        set_limits(fleet, demand,
                   {fleet.local_only_table(zone), operations.local_only, shed_fraction, admitted});
    }
}

/// Averages over the proxies connected to this instance; overloads of other zones are not reported
/// to it.
double OverloadControl::mean_shed_fraction(const FleetState& fleet) const {
    double total = 0;
    double count = 0;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (proxy.connected && fleet.has_zone(proxy.zone)) {
            total += shed_fractions_[index_of(proxy.zone)];
            count += 1;
        }
    }
    return count > 0 ? total / count : 0;
}

OverloadControl::Demand OverloadControl::measure_demand(Micros now, const FleetState& fleet,
                                                        const ZoneId* zone) const {
    Demand demand;
    demand.rates.resize(work_seconds_.size());
    for (const auto& [id, proxy] : fleet.proxies) {
        if (!proxy.connected || (zone != nullptr && proxy.zone != *zone)) {
            continue;
        }
        for (std::size_t k = 0; k < work_seconds_.size(); ++k) {
            const auto found = proxy.demand.find({static_cast<int>(k)});
            const double rate =
                found == proxy.demand.end() ? 0 : found->second.sum(now, kDemandBucketWidth).rate();
            demand.rates[k].push_back(rate);
            demand.work += rate * work_seconds_[k];
        }
    }
    return demand;
}

void OverloadControl::set_limits(FleetState& fleet, const Demand& demand,
                                 const Limits& limits) const {
    double work_to_shed = limits.shed_fraction * demand.work;
    for (const OperationId operation : shed_order_) {
        const auto k = index_of(operation);
        const std::vector<double>& rates = demand.rates[k];
        const double rate = std::accumulate(rates.begin(), rates.end(), 0.0);
        double admitted = 1;
        if (rate > 0 && work_to_shed > 0) {
            admitted = std::max(kMinAdmittedFraction, 1 - work_to_shed / (rate * work_seconds_[k]));
        }
        work_to_shed -= (1 - admitted) * rate * work_seconds_[k];
        if ((limits.operations >> k & 1) == 0) {
            continue;
        }
        admitted = std::min(admitted, limits.sustainable_fraction);
        admitted = std::floor(admitted * kFractionSteps) / kFractionSteps;
        double limit = admitted;
        if (admission_mode_ == AdmissionMode::Rate) {
            limit = admitted >= 1 ? command::SetAdmission::kUnlimitedRate
                                  : admission_rate_limit(rates, admitted);
        }
        fleet.tables[limits.table].desired_limits[operation] = limit;
    }
}

}  // namespace badgergrade::policy
