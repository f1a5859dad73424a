// The choice between zone tables and the full table, and the weights in them; table_planner.h
// describes the rules.
#include "policy/table_planner.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace badgergrade::policy {
namespace {

/// Above this load, in multiples of the mean load, the demand of a degraded zone is spread over all
/// servers with the full table: the ceiling itself if a healthy zone is reported and admission can
/// be limited ...
constexpr double kMaxZoneLoad = 1.2;
/// ... and a higher load if it is unknown whether other zones have spare capacity, or if nothing
/// limits the demand that is spread: one wrongly ejected server must not make all proxies use the
/// faulty servers of another zone.
constexpr double kMaxZoneLoadCautious = 1.4;
/// Above this overload score the only reported zone counts as overloaded.
constexpr double kOnlyZoneOverloadScore = 0.2;

/// Prevents a division by zero for a zone without servers.
constexpr double kMinZoneWeight = 1e-9;

/// Whether attempts show that a server fails.
bool is_failing(const AttemptStats& stats) {
    return stats.attempts >= kMinAttempts && stats.failed_fraction() >= kFailingFraction;
}

/// Whether the proxies receive more than they announced plus the allowed overload.
bool demand_exceeds_announced(Micros now, const FleetState& fleet) {
    double requested = 0;
    double announced = 0;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (proxy.connected) {
            requested += requested_rate(now, proxy);
            announced += proxy.announced_rate;
        }
    }
    return requested > announced * (1 + kAllowedOverloadFraction);
}

}  // namespace

double worst_zone_load(const std::vector<double>& demand_shares, const std::vector<double>& usable,
                       const std::vector<ZoneHealth>& health, ZoneFilter filter) {
    const double total = std::accumulate(usable.begin(), usable.end(), 0.0);
    double worst = 0;
    for (std::size_t zone = 0; zone < usable.size(); ++zone) {
        const bool counts =
            filter == ZoneFilter::All || health[zone].condition == ZoneCondition::Degraded;
        if (demand_shares[zone] > 0 && counts) {
            worst = std::max(worst,
                             demand_shares[zone] * total / std::max(kMinZoneWeight, usable[zone]));
        }
    }
    return worst;
}

TablePlanner::TablePlanner(const Settings& settings)
    : only_instance_(settings.instance_count == 1),
      can_limit_admission_(settings.admission_mode != AdmissionMode::None) {}

std::optional<std::string> TablePlanner::update(Micros now, FleetState& fleet,
                                                const OutlierDetector& outliers,
                                                const SlowStart& slow_start,
                                                const RequiredCapacity& required,
                                                DemandEstimator& demand) {
    const Context context{now, fleet, outliers, slow_start, required, demand};
    const std::vector<ServerCapacity> ready = ready_servers(context);
    ZoneAllocation allocation = allocate(context, ready);
    const std::string reason = allocation.infeasible_reason.empty()
                                   ? fallback_reason(context, allocation)
                                   : allocation.infeasible_reason;
    std::optional<std::string> log_text = update_mode(context, reason);
    zone_of_server_ = std::move(allocation.zone_of_server);
    fill_tables(context, ready);
    protect_tables(context, ready);
    return log_text;
}

std::vector<ServerCapacity> TablePlanner::ready_servers(const Context& context) const {
    std::vector<ServerCapacity> ready;
    double mean_weight = 0;
    for (const auto& [id, server] : context.fleet.servers) {
        if (server.state != ServerState::Ready) {
            continue;
        }
        double usable = 0;
        if (!context.outliers.is_ejected(server.zone, id)) {
            usable = context.slow_start.planned_weight(
                context.now, server, context.outliers.is_on_probation(server.zone, id));
        }
        const bool warming_up = context.slow_start.is_warming_up(context.now, server);
        ready.push_back({id, server.zone, server.weight, usable, warming_up});
        mean_weight += server.weight;
    }
    if (!ready.empty()) {
        mean_weight /= static_cast<double>(ready.size());
    }
    for (ServerCapacity& server : ready) {
        server.listed /= mean_weight;
        server.usable /= mean_weight;
    }
    return ready;
}

// The hold-down is meant for slow changes: shares that load a zone above the ceiling are adopted
// without it.
ZoneAllocation TablePlanner::allocate(const Context& context,
                                      const std::vector<ServerCapacity>& ready) {
    const auto allocate_by_shares = [&] {
        const std::vector<double> demand = reachable_demand(
            context.now, context.fleet, context.demand.shares(), ready, only_instance_);
        return allocate_zones(demand, ready, zone_of_server_);
    };
    ZoneAllocation allocation = allocate_by_shares();
    if (!allocation.infeasible_reason.empty() || context.now < next_early_adoption_) {
        return allocation;
    }
    const std::vector<double> measured = context.demand.measure(context.now, context.fleet);
    const double load =
        worst_zone_load(measured, allocation.usable, context.outliers.health(), ZoneFilter::All);
    if (load > 1 + kAllowedOverloadFraction) {
        context.demand.adopt(measured);
        next_early_adoption_ = context.now + kAckTimeout;
        allocation = allocate_by_shares();
    }
    return allocation;
}

/// Why a feasible allocation is not used; empty if it is used.
std::string TablePlanner::fallback_reason(const Context& context,
                                          const ZoneAllocation& allocation) const {
    const std::vector<ZoneHealth>& health = context.outliers.health();
    const auto unreported =
        std::ranges::count(health, ZoneCondition::Unreported, &ZoneHealth::condition);
    const double max_score =
        std::ranges::max(health, {}, &ZoneHealth::overload_score).overload_score;
    // An instance with reports of a single zone can't see that other zones are idle. With many
    // servers warming up every zone is overloaded, and the spread demand would overload those
    // servers.
    if (context.slow_start.warming_fraction(context.now, context.fleet) <=
            kManyWarmingFraction / 2 &&
        demand_exceeds_announced(context.now, context.fleet) &&
        unreported == context.fleet.zone_count - 1 && max_score > kOnlyZoneOverloadScore) {
        return "the only reported zone is overloaded";
    }
    const bool any_zone_healthy =
        std::ranges::count(health, ZoneCondition::Healthy, &ZoneHealth::condition) > 0;
    const double max_load =
        any_zone_healthy && can_limit_admission_ ? kMaxZoneLoad : kMaxZoneLoadCautious;
    const double load =
        worst_zone_load(context.demand.shares(), allocation.usable, health, ZoneFilter::Degraded);
    return load > max_load ? "a degraded zone stays above the load ceiling after all moves" : "";
}

std::optional<std::string> TablePlanner::update_mode(const Context& context,
                                                     const std::string& reason) {
    if (!reason.empty()) {
        const bool changed = !full_table_mode_ || full_table_reason_ != reason;
        full_table_mode_ = true;
        recomputations_since_infeasible_ = 0;
        full_table_reason_ = reason;
        return changed ? std::optional("all proxies use the full table: " + reason) : std::nullopt;
    }
    if (!full_table_mode_) {
        return std::nullopt;
    }
    const bool held_down = recomputations_since_infeasible_ < kHoldDownRecomputations ||
                           context.slow_start.warming_fraction(context.now, context.fleet) > 0;
    if (held_down && !context.demand.before_first_recomputation()) {
        return std::nullopt;
    }
    full_table_mode_ = false;
    return "proxies use zone tables again";
}

void TablePlanner::fill_tables(const Context& context,
                               const std::vector<ServerCapacity>& ready) const {
    FleetState& fleet = context.fleet;
    const OutlierDetector& outliers = context.outliers;
    for (TableId table{0}; table <= fleet.last_base_table(); ++table.value) {
        fleet.tables[table].desired_weights.clear();
    }
    const auto add = [&](TableId table, ZoneId zone, ServerId id) {
        fleet.tables[table].desired_weights[id] = context.slow_start.planned_weight(
            context.now, fleet.servers[id], outliers.is_on_probation(zone, id));
    };
    for (const ServerCapacity& capacity : ready) {
        const ServerId id = capacity.server;
        const Server& server = fleet.servers[id];
        const double fraction = context.slow_start.weight_fraction(context.now, server);
        if (fraction <= 0) {
            continue;
        }
        if (is_in_full_table(context, id)) {
            fleet.tables[fleet.full_table()].desired_weights[id] = server.weight * fraction;
        }
        const auto allocated = zone_of_server_.find(id);
        if (allocated != zone_of_server_.end() && !outliers.is_ejected(allocated->second, id)) {
            add(FleetState::zone_table(allocated->second), allocated->second, id);
        }
        if (fleet.operations.local_only != 0 && fleet.has_zone(server.zone) &&
            !outliers.is_ejected(server.zone, id)) {
            add(fleet.local_only_table(server.zone), server.zone, id);
        }
    }
}

void TablePlanner::protect_tables(const Context& context,
                                  const std::vector<ServerCapacity>& ready) const {
    FleetState& fleet = context.fleet;
    const auto protect = [&](TableId table, const TableDemand& demand) {
        protect_warming_servers(context.now, demand, fleet, context.slow_start,
                                fleet.tables[table]);
    };
    protect(fleet.full_table(), full_table_demand(context, ready));
    for (ZoneId zone{0}; zone.value < fleet.zone_count; ++zone.value) {
        protect(FleetState::zone_table(zone), zone_table_demand(context, zone));
        if (fleet.operations.local_only != 0) {
            protect(fleet.local_only_table(zone), local_only_demand(context, zone, ready));
        }
    }
}

std::function<bool(ServerId)> TablePlanner::failing_in_zone(const Context& context, ZoneId zone) {
    return [&context, zone](ServerId server) {
        return is_failing(context.outliers.zone_stats(context.now, zone, server));
    };
}

// A zone table may be empty: its proxies then use the full table.
TableDemand TablePlanner::zone_table_demand(const Context& context, ZoneId zone) {
    TableDemand demand;
    demand.required_weight = context.required.of_zone(zone);
    demand.is_failing = failing_in_zone(context, zone);
    return demand;
}

TableDemand TablePlanner::full_table_demand(const Context& context,
                                            const std::vector<ServerCapacity>& ready) const {
    TableDemand demand;
    demand.required_weight = context.required.of_fleet();
    demand.is_failing = [&context](ServerId server) {
        return is_failing(context.outliers.server_stats(context.now, server, kDecisionBuckets));
    };
    demand.limited_by_admission =
        can_limit_admission_ && context.slow_start.all_can_collapse(context.now, context.fleet);
    for (const ServerCapacity& server : ready) {
        (is_in_full_table(context, server.server) ? demand.usable : demand.ejected)
            .push_back(server.server);
    }
    return demand;
}

TableDemand TablePlanner::local_only_demand(const Context& context, ZoneId zone,
                                            const std::vector<ServerCapacity>& ready) const {
    TableDemand demand;
    demand.required_weight = context.required.of_local_only(zone);
    demand.limited_by_admission = can_limit_admission_;
    demand.is_failing = failing_in_zone(context, zone);
    for (const ServerCapacity& server : ready) {
        if (server.zone == zone) {
            (context.outliers.is_ejected(zone, server.server) ? demand.ejected : demand.usable)
                .push_back(server.server);
        }
    }
    return demand;
}

// The full table drops a server that half of the zones have ejected.
bool TablePlanner::is_in_full_table(const Context& context, ServerId server) {
    return context.outliers.ejecting_zone_count(server) * 2 < context.fleet.zone_count;
}

}  // namespace badgergrade::policy
