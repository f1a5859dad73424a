// Feasibility and the moves of servers between zones; zone_allocation.h describes the algorithm.
#include "policy/zone_allocation.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace badgergrade::policy {
namespace {

/// Tolerance for rounding when sums of weights are compared.
constexpr double kRoundingTolerance = 1e-9;
/// Smaller servers count as this weight when they are moved (the design's figure), so that they
/// don't follow every small change of demand.
constexpr double kMinMoveSize = 0.5;

double total_usable(const std::vector<ServerCapacity>& servers) {
    double total = 0;
    for (const ServerCapacity& server : servers) {
        total += server.usable;
    }
    return total;
}

/// Why the allocation is infeasible; empty if it is feasible.
std::string infeasibility(const std::vector<double>& demand_shares,
                          const std::vector<ServerCapacity>& servers) {
    const int zones = static_cast<int>(demand_shares.size());
    double listed = 0;
    bool server_without_zone = false;
    for (const ServerCapacity& server : servers) {
        server_without_zone |= server.zone.value < 0 || server.zone.value >= zones;
        listed += server.listed;
    }
    const auto zones_with_demand = std::count_if(demand_shares.begin(), demand_shares.end(),
                                                 [](double share) { return share > 0; });
    double minimums = 0;
    for (const double share : demand_shares) {
        minimums += min_servers_for(share * listed);
    }
    if (zones_with_demand < 2) {
        return "fewer than two zones with demand";
    }
    if (static_cast<std::size_t>(zones_with_demand) > servers.size()) {
        return "more zones with demand than servers";
    }
    if (minimums > listed + kRoundingTolerance) {
        return "zone minimums exceed the listed servers";
    }
    return server_without_zone ? "a server without a zone" : "";
}

/// Each zone's usable weight above its desired weight; negative: its deficit.
std::vector<double> surplus_by_zone(const std::vector<double>& demand_shares,
                                    const std::vector<ServerCapacity>& servers) {
    const double usable = total_usable(servers);
    std::vector<double> surplus(demand_shares.size(), 0.0);
    for (std::size_t zone = 0; zone < surplus.size(); ++zone) {
        const double desired = demand_shares[zone] * usable;
        surplus[zone] = -std::max(desired, min_servers_for(desired));
    }
    for (const ServerCapacity& server : servers) {
        surplus[index_of(server.zone)] += server.usable;
    }
    return surplus;
}

struct ServerMove {
    ZoneId from;
    ZoneId to;
    double surplus;
    double deficit;
};

ServerMove next_move(const std::vector<double>& surplus) {
    const auto largest = std::max_element(surplus.begin(), surplus.end());
    const auto smallest = std::min_element(surplus.begin(), surplus.end());
    return {{static_cast<int>(largest - surplus.begin())},
            {static_cast<int>(smallest - surplus.begin())},
            *largest,
            -*smallest};
}

/// Whether a server may make this move. A server that is warming up stays in its own zone: in a
/// zone whose own servers have just failed, it would be the only one that answers and would receive
/// the whole demand.
bool can_move(const ServerCapacity& server, ZoneId current_zone, const ServerMove& move) {
    if (server.zone != move.from || current_zone != move.from || server.usable <= 0 ||
        server.warming_up) {
        return false;
    }
    const double size = std::max(kMinMoveSize, server.usable);
    return size <= move.surplus + kRoundingTolerance && size <= move.deficit + kRoundingTolerance;
}

/// Of the servers that can move: one that was allocated to the target zone before, then the
/// largest; null if none can move.
const ServerCapacity* server_to_move(const std::vector<ServerCapacity>& servers,
                                     const ServerMove& move,
                                     const std::map<ServerId, ZoneId>& zone_of_server,
                                     const std::map<ServerId, ZoneId>& previous_zone_of_server) {
    const auto rank = [&](const ServerCapacity& server) {
        const auto previous = previous_zone_of_server.find(server.server);
        const bool was_there_before =
            previous != previous_zone_of_server.end() && previous->second == move.to;
        return std::tuple(was_there_before, std::min(server.listed, server.usable));
    };
    const ServerCapacity* best = nullptr;
    for (const ServerCapacity& server : servers) {
        if (!can_move(server, zone_of_server.at(server.server), move)) {
            continue;
        }
        if (best == nullptr || rank(server) > rank(*best)) {
            best = &server;
        }
    }
    return best;
}

}  // namespace

double min_servers_for(double desired) {
    return std::ceil(desired / (1 + kAllowedOverloadFraction) - kRoundingTolerance);
}

ZoneAllocation allocate_zones(const std::vector<double>& demand_shares,
                              const std::vector<ServerCapacity>& servers,
                              const std::map<ServerId, ZoneId>& previous_zone_of_server) {
    ZoneAllocation allocation;
    allocation.infeasible_reason = infeasibility(demand_shares, servers);
    if (!allocation.infeasible_reason.empty()) {
        return allocation;
    }
    std::vector<double> surplus = surplus_by_zone(demand_shares, servers);
    for (const ServerCapacity& server : servers) {
        allocation.zone_of_server[server.server] = server.zone;
    }
    for (std::size_t moves = 0; moves < servers.size(); ++moves) {
        const ServerMove move = next_move(surplus);
        const ServerCapacity* server =
            server_to_move(servers, move, allocation.zone_of_server, previous_zone_of_server);
        if (server == nullptr) {
            break;
        }
        allocation.zone_of_server[server->server] = move.to;
        surplus[index_of(move.from)] -= server->usable;
        surplus[index_of(move.to)] += server->usable;
    }
    allocation.usable.assign(demand_shares.size(), 0.0);
    for (const ServerCapacity& server : servers) {
        const ZoneId zone = allocation.zone_of_server[server.server];
        allocation.usable[index_of(zone)] += server.usable;
    }
    return allocation;
}

}  // namespace badgergrade::policy
