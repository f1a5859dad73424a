// Demand shares by zone; demand_estimator.h describes the estimate.
#include "policy/demand_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace badgergrade::policy {

double reported_rate(Micros now, const Proxy& proxy) {
    double total = 0;
    for (const auto& [operation, window] : proxy.demand) {
        total += window.sum(now, kDemandBucketWidth).rate();
    }
    return total;
}

double served_rate(Micros now, const Proxy& proxy) {
    double total = 0;
    for (const auto& [operation, window] : proxy.demand) {
        total += window.sum(now, kDemandBucketWidth).served_rate();
    }
    return total;
}

double requested_rate(Micros now, const Proxy& proxy) {
    const double reported = reported_rate(now, proxy);
    return reported > 0 ? reported : proxy.announced_rate;
}

// The interval of a restarted proxy's first reports includes the time when it was down. Used in
// full, it would make the zone's demand appear far lower, and the zone would lose servers.
void add_demand(Micros now, const event::ProxyDemandReport& report, Proxy& proxy) {
    const Micros alive = std::max(now - proxy.process_started_at, kDemandBucketWidth);
    DemandSample sample;
    sample.invocations = static_cast<double>(report.attempts);
    sample.failures = static_cast<double>(std::min(report.failures, report.attempts));
    sample.interval_seconds = to_seconds(std::min(alive, report.interval));
    proxy.demand[report.operation].bucket(now, kDemandBucketWidth) += sample;
}

std::vector<double> measure_demand_rates(Micros now, const FleetState& fleet, int proxy_count,
                                         RateOf rate_of) {
    std::vector<double> rates(static_cast<std::size_t>(fleet.zone_count), 0.0);
    std::vector<double> known_count(rates);
    double known_rate = 0;
    double total_known_count = 0;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (!fleet.has_zone(proxy.zone)) {
            continue;
        }
        const double rate = rate_of(now, proxy);
        rates[index_of(proxy.zone)] += rate;
        known_rate += rate;
        known_count[index_of(proxy.zone)] += 1;
        total_known_count += 1;
    }
    const double average_rate = known_rate > 0 ? known_rate / total_known_count : 1;
    const double unknown_count = std::max(0.0, proxy_count - total_known_count);
    const double even_count = static_cast<double>(proxy_count) / fleet.zone_count;
    double total_missing_count = 0;
    for (const double count : known_count) {
        total_missing_count += std::max(0.0, even_count - count);
    }
    for (std::size_t zone = 0; total_missing_count > 0 && zone < rates.size(); ++zone) {
        const double missing_count_here = std::max(0.0, even_count - known_count[zone]);
        rates[zone] += average_rate * unknown_count * missing_count_here / total_missing_count;
    }
    return rates;
}

std::vector<double> measure_demand_shares(Micros now, const FleetState& fleet, int proxy_count) {
    std::vector<double> rates = measure_demand_rates(now, fleet, proxy_count, requested_rate);
    const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
    for (double& rate : rates) {
        rate = total > 0 ? rate / total : 1.0 / fleet.zone_count;
    }
    return rates;
}

std::vector<double> reachable_demand(Micros now, const FleetState& fleet,
                                     const std::vector<double>& shares,
                                     const std::vector<ServerCapacity>& servers,
                                     bool only_instance) {
    std::vector<Micros> last_connected(shares.size(), Micros::min());
    for (const auto& [id, proxy] : fleet.proxies) {
        if (fleet.has_zone(proxy.zone)) {
            Micros& last = last_connected[index_of(proxy.zone)];
            last = std::max(last, proxy.connected ? now : proxy.disconnected_at);
        }
    }
    std::vector<double> own_capacity(shares.size(), 0.0);
    double total_capacity = 0;
    for (const ServerCapacity& server : servers) {
        if (fleet.has_zone(server.zone)) {
            own_capacity[index_of(server.zone)] += server.usable;
            total_capacity += server.usable;
        }
    }
    std::vector<double> demand(shares);
    double total = 0;
    for (std::size_t zone = 0; zone < demand.size(); ++zone) {
        const bool unreachable = only_instance && last_connected[zone] > Micros::min() &&
                                 last_connected[zone] <= now - kRecomputeInterval;
        if (unreachable && total_capacity > 0) {
            demand[zone] = std::min(demand[zone], own_capacity[zone] / total_capacity);
        }
        total += demand[zone];
    }
    for (double& share : demand) {
        share = total > 0 ? share / total : 0;
    }
    return demand;
}

DemandEstimator::DemandEstimator(int zone_count, int proxy_count, Micros now)
    : proxy_count_(proxy_count),
      shares_(static_cast<std::size_t>(zone_count), 0.0),
      next_recompute_(now + kRecomputeInterval) {}

bool DemandEstimator::update(Micros now, const FleetState& fleet) {
    if (recomputations_ == 0) {
        shares_ = measure(now, fleet);
    }
    if (now < next_recompute_) {
        return false;
    }
    recompute(now, fleet);
    return true;
}

void DemandEstimator::recompute(Micros now, const FleetState& fleet) {
    const std::vector<double> measured = measure(now, fleet);
    double ready = 0;
    for (const auto& [id, server] : fleet.servers) {
        ready += static_cast<double>(server.state == ServerState::Ready);
    }
    double max_deviation_servers = 0;
    for (std::size_t zone = 0; zone < measured.size(); ++zone) {
        max_deviation_servers =
            std::max(max_deviation_servers, std::abs(measured[zone] - shares_[zone]) * ready);
    }
    deviating_recomputations_ = max_deviation_servers >= 1 ? deviating_recomputations_ + 1 : 0;
    if (deviating_recomputations_ >= kHoldDownRecomputations || recomputations_ == 0) {
        adopt(measured);
    }
    ++recomputations_;
    next_recompute_ = now + kRecomputeInterval;
}

void DemandEstimator::adopt(const std::vector<double>& shares) {
    shares_ = shares;
    deviating_recomputations_ = 0;
}

}  // namespace badgergrade::policy
