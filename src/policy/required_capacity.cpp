// The proven load and the usual demand; required_capacity.h describes the estimate.
#include "policy/required_capacity.h"

#include <algorithm>
#include <numeric>

#include "policy/command.h"
#include "policy/demand_estimator.h"

namespace badgergrade::policy {
namespace {

/// The proxies of a zone serve nearly all invocations if at most this fraction fails.
constexpr double kMaxFailedFraction = 0.05;

/// What the proxies of one zone reported, or of all zones.
struct Reported {
    double rate = 0;
    double served_rate = 0;
};

Reported reported_by(Micros now, const FleetState& fleet, std::optional<ZoneId> zone) {
    Reported total;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (proxy.connected && (!zone || proxy.zone == *zone)) {
            total.rate += reported_rate(now, proxy);
            total.served_rate += served_rate(now, proxy);
        }
    }
    return total;
}

/// Whether at least one zone is reported and all reported ones are healthy.
bool is_healthy(const std::vector<ZoneHealth>& health) {
    return std::ranges::count(health, ZoneCondition::Healthy, &ZoneHealth::condition) > 0 &&
           std::ranges::count(health, ZoneCondition::Degraded, &ZoneHealth::condition) == 0;
}

/// Whether some table's users may not admit everything.
bool limits_admission(const FleetState& fleet, AdmissionMode mode) {
    const double unlimited =
        mode == AdmissionMode::Rate ? command::SetAdmission::kUnlimitedRate : 1.0;
    return mode != AdmissionMode::None && std::ranges::any_of(fleet.tables, [&](const auto& table) {
               return std::ranges::any_of(table.second.published_limits, [&](const auto& limit) {
                   return limit.second < unlimited;
               });
           });
}

}  // namespace

RequiredCapacity::RequiredCapacity(const Settings& settings)
    : proxy_count_(settings.proxy_count),
      admission_mode_(settings.admission_mode),
      usual_demand_(static_cast<std::size_t>(settings.zone_count)) {
    for (const Operation& operation : settings.operations) {
        work_seconds_.push_back(to_seconds(operation.latency_objective));
    }
}

void RequiredCapacity::update(Micros now, const FleetState& fleet,
                              const std::vector<ZoneHealth>& health) {
    if (now >= next_sample_) {
        prove_load(now, fleet, health);
        sample_demand(now, fleet);
        next_sample_ = now + kRecomputeInterval;
    }
}

// What proxies only announced proves nothing: those without reports count as idle here. Neither
// does what they reported while limits are in force: it includes what they did not admit.
void RequiredCapacity::prove_load(Micros now, const FleetState& fleet,
                                  const std::vector<ZoneHealth>& health) {
    const double weight = fleet.ready_weight();
    const bool any_served = reported_by(now, fleet, std::nullopt).served_rate > 0;
    if (!any_served || !is_healthy(health) || weight <= 0 ||
        limits_admission(fleet, admission_mode_)) {
        last_load_.reset();
        return;
    }
    const std::vector<double> served = measure_demand_rates(now, fleet, proxy_count_, served_rate);
    const double load = std::accumulate(served.begin(), served.end(), 0.0) / weight;
    proven_load_ = std::max(proven_load_, std::min(load, last_load_.value_or(0)));
    last_load_ = load;
}

void RequiredCapacity::sample_demand(Micros now, const FleetState& fleet) {
    const std::vector<double> rates =
        measure_demand_rates(now, fleet, proxy_count_, requested_rate);
    for (ZoneId zone{0}; zone.value < fleet.zone_count; ++zone.value) {
        const Reported reported = reported_by(now, fleet, zone);
        if (reported.rate > 0 && reported.served_rate >= reported.rate * (1 - kMaxFailedFraction)) {
            usual_demand_[index_of(zone)] = usual_demand(now, fleet, zone, rates[index_of(zone)]);
        }
    }
}

RequiredCapacity::UsualDemand RequiredCapacity::usual_demand(Micros now, const FleetState& fleet,
                                                             ZoneId zone, double rate) const {
    double local_only = 0;
    double total = 0;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (!proxy.connected || proxy.zone != zone) {
            continue;
        }
        // Reports may name operations that the settings don't have.
        for (std::size_t k = 0; k < work_seconds_.size(); ++k) {
            const auto found = proxy.demand.find({static_cast<int>(k)});
            if (found == proxy.demand.end()) {
                continue;
            }
            const double work =
                found->second.sum(now, kDemandBucketWidth).rate() * work_seconds_[k];
            total += work;
            local_only += (fleet.operations.local_only >> k & 1) != 0 ? work : 0;
        }
    }
    return {rate, total > 0 ? local_only / total : 1};
}

std::optional<double> RequiredCapacity::of_fleet() const {
    double total = 0;
    for (ZoneId zone{0}; index_of(zone) < usual_demand_.size(); ++zone.value) {
        const auto required = of_zone(zone);
        if (!required) {
            return std::nullopt;
        }
        total += *required;
    }
    return total;
}

std::optional<double> RequiredCapacity::of_zone(ZoneId zone) const {
    const auto& usual = usual_demand_[index_of(zone)];
    return usual && proven_load_ > 0 ? std::optional(usual->rate / proven_load_) : std::nullopt;
}

std::optional<double> RequiredCapacity::of_local_only(ZoneId zone) const {
    const auto required = of_zone(zone);
    return required ? std::optional(*required * usual_demand_[index_of(zone)]->local_only_fraction)
                    : std::nullopt;
}

}  // namespace badgergrade::policy
